package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan

/**
 * Tests of a loss of all hosts together with a worker: none is left that has acknowledged or seen a
 * heartbeat of the last owner.
 */
class KillOfAllHostsTest {
    /** Expects that the worker's lasting tasks run again within [boundMillis] of the loss. */
    private fun expectRestart(
        boundMillis: Long,
        ownerDarkMillis: Long = 500,
        killedSuccessors: Int = 0
    ) {
        for (seed in 1L..8) {
            val schedule = SuccessionSchedule(seed, SuccessionFaults(emptySet()))
            val millis = schedule.playKillOfAllHosts(15_000, ownerDarkMillis, killedSuccessors)
            expectThat(millis).describedAs("seed $seed").isLessThan(boundMillis)
            expectThat(schedule.violations).describedAs("seed $seed").isEmpty()
        }
    }

    @Test
    fun `restarts tasks of a lost worker once leases of the last owner have lapsed`() =
        expectRestart(boundMillis = 10_000)

    // Guards against a wait for the longest leases of an owner that nobody asks for (LOST, issue 49).
    @Test
    fun `restarts them also if successors end before they have written a record`() {
        expectRestart(boundMillis = 15_000, killedSuccessors = 1)
        expectRestart(boundMillis = 15_000, killedSuccessors = 2)
    }

    // Guards against a wait of more than seven seconds after the last host is back (LOST, issue 49).
    @Test
    fun `restarts them within seven seconds of the return of the last owner's host`() {
        expectRestart(boundMillis = 9_000 + 7_000, ownerDarkMillis = 9_000)
    }

    // Guards against tasks that wait for a host which is gone for good (LOST, issue 49).
    @Test
    fun `restarts them once leases have lapsed if the last owner's host does not return`() =
        expectRestart(boundMillis = 10_000, ownerDarkMillis = 60_000)
}
