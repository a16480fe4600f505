package sycamoremast.cli

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.map
import strikt.assertions.single

class LeaseGapsTest {
    // Guards against issue 64: runs of a task at the same time, by a lease of the longest kind.
    @Test
    fun `a start before the end of a lease by an earlier incarnation's start has a negative gap`() {
        val gap = gapsOf(*RESTART_UNDER_A_START, *START_ELSEWHERE).all.single()
        expectThat(gap).isEqualTo(
            LeaseGap("job.0.0.0", 1001, "w2", 28.0, 2, "w1", 20.0 + 1.02 * LONGEST_SECONDS, 1)
        )
        expectThat(gap.seconds).isEqualTo(28.0 - 30.2)
        expectThat(gap.isNegative).isTrue()
    }

    @Test
    fun `a start after the end of that lease has a positive gap`() {
        val gap = gapsOf(
            *RESTART_UNDER_A_START,
            "21.0 owner-began set=0 epoch=2",
            "30.5 run-ordered id=job.0.0.0 run=1001 worker=w2"
        ).all.single()
        expectThat(gap.isNegative).isFalse()
    }

    @Test
    fun `no lease is left where no start was on its way`() {
        val gaps = gapsOf(
            "10.0 run-ordered id=other.0.0.0 run=1 worker=w1",
            "11.0 run-ended id=other.0.0.0 run=1 worker=w1 how=DONE ranMillis=900",
            "20.0 worker-restarted id=w1 runs=0",
            "20.1 run-ordered id=job.0.0.0 run=2 worker=w1",
            *START_ELSEWHERE
        )
        expectThat(gaps.all).isEmpty()
        expectThat(gaps.presumingCount).isEqualTo(1)
        expectThat(gaps.startCount).isEqualTo(3)
    }

    // Guards against starts that count as answered as another run of the worker was reported.
    @Test
    fun `a start that was never answered may still be on its way after a report`() {
        val gaps = gapsOf(
            "19.0 run-ordered id=other.0.0.0 run=1 worker=w1",
            "19.2 run-ended id=third.0.0.0 run=1 worker=w1 how=DONE ranMillis=900",
            "19.6 start-unanswered id=other.0.0.0 run=1 worker=w1 reason=timeout",
            "20.0 worker-restarted id=w1 runs=0",
            "20.1 run-ordered id=job.0.0.0 run=2 worker=w1",
            *START_ELSEWHERE
        )
        expectThat(gaps.all).map { it.leaseEndSeconds }.containsExactly(30.2)
    }

    @Test
    fun `a start that was never sent leaves no lease, one without room does`() {
        fun leaseEnds(reason: String) = gapsOf(
            "19.9 run-ordered id=other.0.0.0 run=1 worker=w1",
            "20.0 worker-restarted id=w1 runs=1",
            "20.1 run-ordered id=job.0.0.0 run=2 worker=w1",
            "20.9 start-rejected id=other.0.0.0 run=1 worker=w1 reason=$reason",
            *START_ELSEWHERE
        ).all.map { it.leaseEndSeconds }
        expectThat(leaseEnds("CONGESTED")).isEmpty()
        expectThat(leaseEnds("NOT_SENT")).isEmpty()
        expectThat(leaseEnds("NO_ROOM")).containsExactly(30.2)
    }

    @Test
    fun `a run whose end was reported holds no lease`() {
        val ends = listOf(
            "22.0 run-ended id=job.0.0.0 run=2 worker=w1 how=FAILED ranMillis=1900",
            "22.0 run-vanished id=job.0.0.0 run=2 worker=w1",
            "22.0 worker-restarted id=w1 runs=1",
            "22.0 worker-lost id=w1 reason=\"moved to another address\" runs=1"
        )
        val report = "20.5 run-ended id=third.0.0.0 run=1 worker=w1 how=DONE ranMillis=100"
        for (end in ends) {
            expectThat(gapsOf(*RESTART_UNDER_A_START, report, end, *START_ELSEWHERE).all).isEmpty()
        }
    }

    @Test
    fun `an owner knows of the ends in its own term, unless a lease lapsed`() {
        val start = "24.0 run-ordered id=job.0.0.0 run=3 worker=w2"
        expectThat(gapsOf(*RESTART_UNDER_A_START, start).all).isEmpty()
        val lost = "23.0 worker-lost id=w1 reason=\"lease lapsed\" runs=1"
        expectThat(gapsOf(*RESTART_UNDER_A_START, lost, start).all).map { it.seconds }
            .containsExactly(24.0 - 30.2)
    }

    @Test
    fun `a run that a new owner adopts and loses holds the worker's lease`() {
        val gaps = gapsOf(
            *RESTART_UNDER_A_START,
            "21.0 owner-began set=0 epoch=2",
            "21.5 run-adopted id=job.0.0.0 run=2 worker=w1",
            "28.0 worker-lost id=w1 reason=\"lease lapsed\" runs=1",
            "28.0 run-ordered id=job.0.0.0 run=1001 worker=w2"
        )
        expectThat(gaps.all).single().get { runBefore }.isEqualTo(2)
    }

    @Test
    fun `a start may itself be the run that the next incarnation carries out`() {
        val gaps = gapsOf(
            "19.9 run-ordered id=job.0.0.0 run=2 worker=w1",
            "20.0 worker-restarted id=w1 runs=1",
            *START_ELSEWHERE
        )
        expectThat(gaps.all).single().get { runBefore }.isEqualTo(2)
    }

    @Test
    fun `an owner that waits for the lease it takes a worker to hold leaves a positive gap`() {
        fun gapAt(seconds: String) = gapsOf(
            "20.0 worker-introduced id=w1 leaseLeftMillis=10200",
            "20.0 worker-restarted id=w1 runs=0",
            "20.1 run-ordered id=job.0.0.0 run=2 worker=w1",
            "21.0 owner-began set=0 epoch=2",
            "$seconds run-ordered id=job.0.0.0 run=1001 worker=w2"
        ).all.single().isNegative
        expectThat(gapAt("30.1")).isTrue()
        expectThat(gapAt("30.3")).isFalse()
    }

    @Test
    fun `the age of the last report tells which starts it answers`() {
        fun gaps(sinceMillis: String) = gapsOf(
            "19.0 run-ordered id=other.0.0.0 run=1 worker=w1",
            "20.0 worker-restarted id=w1 runs=1 sinceReportMillis=$sinceMillis",
            "20.1 run-ordered id=job.0.0.0 run=2 worker=w1",
            *START_ELSEWHERE
        ).all
        expectThat(gaps("300")).isEmpty()
        expectThat(gaps("1300")).hasSize(1)
        expectThat(gaps("null")).hasSize(1)
    }

    @Test
    fun `the report lists all negative gaps and some of the others`() {
        val gaps = gapsOf(
            *RESTART_UNDER_A_START,
            *START_ELSEWHERE,
            "40.0 run-ordered id=job.0.0.0 run=1002 worker=w3"
        )
        val lines = LeaseGapReport(gaps).text(count = 0).lines()
        expectThat(lines).hasSize(4)
        expectThat(lines[1]).contains("28.000  -2.200  booked too short")
        expectThat(lines[3]).isEqualTo(
            "4 starts, 2 after a run on another worker whose end was presumed, " +
                "2 of them after a lease that late starts may have left, 1 before its end"
        )
    }

    private fun gapsOf(vararg events: String): LeaseGaps {
        val lines = events.asSequence().map { event ->
            val (seconds, rest) = event.split(' ', limit = 2)
            "  $seconds h1 2026-03-17T20:45:21.002 level=INFO logger=EventLogKt event=$rest"
        }
        return LeaseGaps(Play.parse(lines).events, LONGEST_SECONDS)
    }

    private companion object {
        const val LONGEST_SECONDS = 10.0

        /** One start is on its way while the worker restarts, and another follows. */
        val RESTART_UNDER_A_START = arrayOf(
            "19.9 run-ordered id=other.0.0.0 run=1 worker=w1",
            "20.0 worker-restarted id=w1 runs=1",
            "20.1 run-ordered id=job.0.0.0 run=2 worker=w1"
        )

        /** The next owner presumes that the lease has lapsed. */
        val START_ELSEWHERE = arrayOf(
            "21.0 owner-began set=0 epoch=2",
            "28.0 run-ordered id=job.0.0.0 run=1001 worker=w2"
        )
    }
}
