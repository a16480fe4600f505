package sycamoremast.coordination.record

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.Resources

class ShardDocumentTest {
    private val key = JobKey("nets", "survey")
    private val spec = JobSpec(3, Resources(1_000, 512), expectedMillis = 100)
    private val accepted = DocumentChange.AcceptJob(
        JobRecord("nets", "survey", acceptedEpoch = 1, tasks = 3, spec = spec),
        revision = 4
    )
    private val start = DocumentChange.RecordStart(key, TaskStart(1, 1, "w1", "a"))

    @Test
    fun `every change may be applied twice`() {
        val changes = listOf(
            DocumentChange.TakeOver("h1", 7),
            accepted,
            DocumentChange.AddWorkers(listOf("w1", "w2")),
            start,
            DocumentChange.FinishTasks(key, listOf(0)),
            DocumentChange.LoseOutcome(key, 1),
            DocumentChange.RemoveWorkers(listOf("w2"))
        )
        val once = ShardDocument().with(changes, "h1", 1)
        for (change in changes.drop(3)) {
            expectThat(once.with(listOf(change), "h1", 1)).isEqualTo(once)
        }
    }

    @Test
    fun `print and parse are inverse`() {
        val document = ShardDocument().with(listOf(accepted, start), "h1", 1)
        expectThat(ShardDocument.parseOrNull(document.print())).isEqualTo(document)
        expectThat(ShardDocument.parseOrNull("{\"epoch\":")).isEqualTo(null)
    }

    @Test
    fun `a job ends when the outcome of each task is decided`() {
        val finished = DocumentChange.FinishTasks(key, listOf(0, 1, 2))
        expectThat(after(finished).state).isEqualTo(JobState.FINISHED)
        val partly = DocumentChange.FinishTasks(key, listOf(0, 2))
        expectThat(after(partly).state).isEqualTo(JobState.ACCEPTED)
        expectThat(after(partly, DocumentChange.LoseOutcome(key, 1)).state)
            .isEqualTo(JobState.UNKNOWN)
    }

    @Test
    fun `an ended job keeps its state and the reason of its end`() {
        val cancelled = after(
            DocumentChange.EndJob(key, JobState.FAILED, "task 0 failed"),
            DocumentChange.CancelJob(key, 3, "cancelled"),
            DocumentChange.FinishTasks(key, listOf(0, 1, 2))
        )
        expectThat(cancelled.state).isEqualTo(JobState.FAILED)
        expectThat(cancelled.reason).isEqualTo("task 0 failed")
        expectThat(cancelled.finished.size).isEqualTo(0)
    }

    @Test
    fun `a job that is cancelled before its record exists is not accepted later`() {
        val document = ShardDocument()
            .with(listOf(DocumentChange.CancelJob(key, 3, "cancelled"), accepted), "h1", 1)
        expectThat(document.jobs).hasSize(1)
        expectThat(document.job(key)?.state).isEqualTo(JobState.CANCELLED)
    }

    @Test
    fun `a writer finds its last write, and the oldest writers are dropped`() {
        var document = ShardDocument().with(emptyList(), "old", 5)
        expectThat(document.contains("old", 5)).isTrue()
        expectThat(document.contains("old", 6)).isFalse()
        repeat(ShardDocument.KEPT_WRITERS) {
            document = document.with(emptyList(), "writer$it", 1)
        }
        expectThat(document.contains("old", 5)).isFalse()
        expectThat(document.sequences.keys).hasSize(ShardDocument.KEPT_WRITERS)
    }

    private fun after(vararg changes: DocumentChange): JobRecord =
        ShardDocument().with(listOf(accepted) + changes, "h1", 1).job(key) ?: error("no record")
}
