package sycamoremast.cli

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.map

class ExplainCommandTest {
    private val lines = listOf(
        "b 2026-07-09T16:16:16.972 level=INFO event=workflow-failed id=4e70 task=4e70.0.0.0 failures=2",
        "a 2026-07-09T16:16:10.100 level=INFO event=job-submitted id=4e70 outcome=Accepted",
        "b 2026-07-09T16:16:10.120 level=INFO event=run-ordered id=4e70.0.0.0 run=1 worker=i-1",
        "b 2026-07-09T16:16:16.900 level=INFO event=run-ended id=4e70.0.0.0 run=2 how=FAILED",
        "b 2026-07-09T16:16:11.000 level=INFO event=run-ordered id=4e701.0.0.0 run=1 worker=i-2"
    )

    @Test
    fun `history orders the lines of an ID and finds the deciding one`() {
        val history = History("4e70", lines.asSequence())
        expectThat(history.lines).map { it.event }
            .containsExactly("job-submitted", "run-ordered", "run-ended", "workflow-failed")
        expectThat(history.deciding?.event).isEqualTo("workflow-failed")
    }

    @Test
    fun `the reason decides for a job whose attempts are used up`() {
        val history = historyOf(
            "05:21:45.606 event=workflow-known id=job queue=queue ageMillis=3 recovered=false",
            "05:21:45.646 event=run-ordered id=job.0.0.0 run=1 worker=w1 waitedMillis=23 firm=1",
            "05:21:45.670 event=run-ended id=job.0.0.0 run=1 worker=w1 how=FAILED ranMillis=219",
            "05:21:45.671 event=run-ordered id=job.0.0.0 run=2 worker=w2 waitedMillis=245 firm=1",
            "05:21:46.767 event=run-ended id=job.0.0.0 run=2 worker=w2 how=FAILED ranMillis=4",
            "05:21:46.768 event=workflow-failed id=job task=job.0.0.0 reason=ATTEMPTS_USED_UP " +
                "runs=1@w1,2@w2 runCount=2 maxAttempts=2",
            "05:21:46.768 event=workflow-ended id=job phase=FAILED ageMillis=1338 lateMillis=-90"
        )
        expectThat(history.deciding?.text.orEmpty()).contains("reason=ATTEMPTS_USED_UP")
    }

    @Test
    fun `the reason decides for a job whose runs were lost with their workers`() {
        val history = historyOf(*CRASHES, GIVEN_UP, endedAs("FAILED"))
        expectThat(history.deciding?.text.orEmpty()).contains("reason=WORKERS_CRASHED")
    }

    // Guards against an explanation by a decision that its owner did not record in time.
    @Test
    fun `a decision to give up does not decide if a later owner ended the job otherwise`() {
        for (phase in listOf("COMPLETED", "CANCELLED")) {
            val history = historyOf(*CRASHES, GIVEN_UP, endedAs("FAILED"), endedAs(phase))
            expectThat(history.deciding?.event).isNotEqualTo("workflow-failed")
        }
        expectThat(historyOf(*CRASHES, GIVEN_UP, endedAs("CANCELLED")).deciding?.text.orEmpty())
            .contains("phase=CANCELLED")
    }

    // Guards against an explanation by a decision that its owner did not record in time.
    @Test
    fun `a decision to give up does not decide if a later owner found the job open`() {
        val known = "05:22:58.118 event=workflow-known id=job queue=queue recovered=true"
        val history = historyOf(*CRASHES, GIVEN_UP, endedAs("FAILED"), known)
        expectThat(history.deciding?.event).isEqualTo("run-vanished")
    }

    private fun historyOf(vararg lines: String) = History(
        "job",
        lines.asSequence().map { it.replaceFirst(" ", " level=INFO ") }.map { "2026-12-05T$it" }
    )

    private fun endedAs(phase: String) =
        "05:22:58.118 event=workflow-ended id=job phase=$phase ageMillis=9338 lateMillis=120"

    @Test
    fun `an unknown ID has no deciding line`() {
        expectThat(History("ffff", lines.asSequence()).deciding).isNull()
    }

    private companion object {
        val CRASHES = arrayOf(
            "05:22:50.101 event=run-ordered id=job.0.0.0 run=1 worker=w1 waitedMillis=23 firm=1",
            "05:22:51.214 event=run-vanished id=job.0.0.0 run=1 worker=w1",
            "05:22:51.220 event=run-ordered id=job.0.0.0 run=2 worker=w2 waitedMillis=1130 firm=1",
            "05:22:51.725 event=start-unanswered id=job.0.0.0 run=2 worker=w2 reason=timeout"
        )
        const val GIVEN_UP =
            "05:22:54.377 event=workflow-failed id=job task=job.0.0.0 reason=WORKERS_CRASHED " +
                "runs=1@w1,2@w2 runCount=2 maxAttempts=3"
    }
}
