package sycamoremast.cli

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
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
    fun `an unknown ID has no deciding line`() {
        expectThat(History("ffff", lines.asSequence()).deciding).isNull()
    }
}
