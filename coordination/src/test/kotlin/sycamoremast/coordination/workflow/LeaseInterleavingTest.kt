package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Plays all courses of events around a worker that restarts silently between two owners, up to a
 * bound.
 *
 * They guard against leases that an order to an earlier incarnation of a worker grants to the
 * present one (TWICE, issue 64).
 */
class LeaseInterleavingTest {
    private fun expectNoViolations(maxLeaseMillis: Long, lateMillis: List<Long>) {
        val paths = ChoicePaths()
        var plays = 0
        do {
            val play = LeaseInterleaving(paths, maxLeaseMillis, lateMillis)
            play.play()
            expectThat(play.violations).describedAs("choices ${paths.path}").isEmpty()
            plays++
        } while (paths.advance())
        expectThat(plays).isGreaterThan(FEWEST_PLAYS)
    }

    @Test
    fun `all sequences of choices are run once`() {
        val paths = ChoicePaths()
        val seen = ArrayList<List<Int>>()
        do {
            if (paths.choose(2) == 1) paths.choose(3)
            seen += paths.path
        } while (paths.advance())
        val expected = listOf(listOf(0), listOf(1, 0), listOf(1, 1), listOf(1, 2))
        expectThat(seen as List<List<Int>>).isEqualTo(expected)
    }

    @Test
    fun `no task runs twice whichever calls are lost as a worker restarts`() =
        expectNoViolations(LONG_MILLIS, emptyList())

    @Test
    fun `no task runs twice whichever calls are lost as a worker of short leases restarts`() =
        expectNoViolations(SHORT_MILLIS, emptyList())

    @Test
    fun `no task runs twice whichever calls are late as a worker restarts`() =
        expectNoViolations(LONG_MILLIS, listOf(LATE_MILLIS))

    @Test
    fun `no task runs twice whichever calls are late as a worker of short leases restarts`() =
        expectNoViolations(SHORT_MILLIS, listOf(LATE_MILLIS))

    private companion object {
        const val FEWEST_PLAYS = 500
        const val LONG_MILLIS = 10_000L
        const val SHORT_MILLIS = SchedulerSettings.DEFAULT_LEASE_MILLIS
        const val LATE_MILLIS = 2_000L
    }
}
