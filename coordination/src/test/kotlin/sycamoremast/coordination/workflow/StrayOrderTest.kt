package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty

/**
 * Tests of owners that are lost while their workers restart silently.
 *
 * All of them guard against leases that an order to an earlier incarnation of a worker grants to the
 * present one (TWICE, issue 64).
 */
class StrayOrderTest {
    private fun expectNoViolations(faults: StrayOrderFaults) {
        for (seed in 1L..SEEDS) {
            val schedule = StrayOrderSchedule(seed, faults)
            schedule.play()
            expectThat(schedule.violations).describedAs("seed $seed").isEmpty()
        }
    }

    private fun expectNoViolations(fault: OwnerFault, maxLeaseMillis: Long) =
        expectNoViolations(StrayOrderFaults(setOf(fault), maxLeaseMillis))

    @Test
    fun `no task runs twice as workers restart and owners are killed`() =
        expectNoViolations(OwnerFault.KILLED, LONG_MILLIS)

    @Test
    fun `no task runs twice as workers restart and owners freeze`() =
        expectNoViolations(OwnerFault.FROZEN, LONG_MILLIS)

    @Test
    fun `no task runs twice as workers restart and owners lose the store`() =
        expectNoViolations(OwnerFault.CUT_FROM_STORE, LONG_MILLIS)

    @Test
    fun `no task runs twice as workers of short leases restart and owners are killed`() =
        expectNoViolations(OwnerFault.KILLED, SHORT_MILLIS)

    @Test
    fun `no task runs twice as workers of short leases restart and owners freeze`() =
        expectNoViolations(OwnerFault.FROZEN, SHORT_MILLIS)

    @Test
    fun `no task runs twice as workers of short leases restart and owners lose the store`() =
        expectNoViolations(OwnerFault.CUT_FROM_STORE, SHORT_MILLIS)

    @Test
    fun `no task runs twice as workers restart and calls reach them late`() =
        expectNoViolations(late(LONG_MILLIS))

    @Test
    fun `no task runs twice as workers of short leases restart and calls reach them late`() =
        expectNoViolations(late(SHORT_MILLIS))

    private fun late(maxLeaseMillis: Long) =
        StrayOrderFaults(OwnerFault.entries.toSet(), maxLeaseMillis, lateCalls = 0.05)

    private companion object {
        const val SEEDS = 60L

        /** Longer than any lease that owners mean to grant. */
        const val LONG_MILLIS = 10_000L
        const val SHORT_MILLIS = SchedulerSettings.DEFAULT_LEASE_MILLIS
    }
}
