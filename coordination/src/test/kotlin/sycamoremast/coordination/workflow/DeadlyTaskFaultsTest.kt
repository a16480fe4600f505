package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isLessThanOrEqualTo

/** Tests of tasks that crash their workers, among faults drawn from seeds. */
class DeadlyTaskFaultsTest {
    private fun expectRightBlame(seeds: LongRange, faults: Faults) {
        for (seed in seeds) {
            val schedule = FaultSchedule(
                seed,
                faults.copy(deadlyWorkflows = DEADLY, endMillis = END_MILLIS)
            )
            val unfinished = schedule.play()
            expectThat(schedule.deadlyStarts.values).describedAs("starts with seed $seed")
                .all { isLessThanOrEqualTo(MOST_STARTS) }
            expectThat(schedule.violations).describedAs("seed $seed").isEmpty()
            expectThat(unfinished).describedAs("unfinished with seed $seed").isEmpty()
        }
    }

    @Test
    fun `blames only tasks that crash their workers`() = expectRightBlame(1L..40, Faults())

    @Test
    fun `blames only tasks that crash their workers under their IDs`() =
        expectRightBlame(1L..40, Faults(newIds = 0.0))

    @Test
    fun `blames only tasks that crash their workers while others crash by themselves`() =
        expectRightBlame(1L..40, Faults(maxRestartIntervalMillis = 20_000))

    @Test
    fun `blames only tasks that crash their workers while others are out of reach`() =
        expectRightBlame(1L..40, Faults(maxPartitionIntervalMillis = 20_000))

    @Test
    fun `blames only tasks that crash their workers while answers are lost and orders are late`() =
        expectRightBlame(1L..40, Faults(lostAnswers = 0.1, lateOrders = 0.1, unsentOrders = 0.05))

    @Test
    fun `blames only tasks that crash their workers while all of these faults occur`() =
        expectRightBlame(1L..40, ALL)

    // Guards against a job that fails for crashes that all had other causes.
    @Test
    fun `blames no task on a crowded fleet whose workers are lost all the time`() =
        expectRightBlame(58L..58, ALL)

    private companion object {
        val ALL = Faults(
            lostAnswers = 0.1,
            lateOrders = 0.1,
            unsentOrders = 0.05,
            slowAnswers = 0.2,
            maxRestartIntervalMillis = 20_000,
            maxPartitionIntervalMillis = 20_000
        )
        const val DEADLY = 3
        const val END_MILLIS = 150_000L

        /** A task may start twice after three workers have crashed under it. */
        const val MOST_STARTS = 5
    }
}
