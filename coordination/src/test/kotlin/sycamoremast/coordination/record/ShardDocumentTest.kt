package sycamoremast.coordination.record

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import sycamoremast.coordination.Checkpoint
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
    fun `applying a change twice has the effect of applying it once`() {
        val changes = listOf(
            DocumentChange.TakeOver("h1", 7),
            accepted,
            DocumentChange.AddWorkers(listOf("w1", "w2")),
            start,
            DocumentChange.RecordCheckpoints(key, mapOf(2 to Checkpoint(1, 50))),
            DocumentChange.FinishTasks(key, listOf(0)),
            DocumentChange.RecordUnknownOutcome(key, 1),
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
        expectThat(after(partly, DocumentChange.RecordUnknownOutcome(key, 1)).state)
            .isEqualTo(JobState.UNKNOWN)
    }

    @Test
    fun `an ended job keeps its state and its reason`() {
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
        expectThat(document.jobs).hasSize(0)
        expectThat(document.stateOf(key)).isEqualTo(JobState.CANCELLED)
    }

    // In the worst order of completions, every second finished task is a range of its own, and so
    // is every second task with an unknown outcome in a job of never-repeated tasks.
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a record never grows beyond the size reserved for it`(neverRepeat: Boolean) {
        for (tasks in listOf(1, 2, 9, 10, 11, 1_000, 9_999)) {
            val record = JobRecord(
                "nets",
                "survey",
                1,
                tasks,
                spec = spec.copy(tasks = tasks, neverRepeat = neverRepeat)
            )
            val (even, odd) = (0 until tasks).partition { it % 2 == 0 }
            val changes = listOf(
                DocumentChange.FinishTasks(key, even),
                DocumentChange.CancelJob(key, tasks, "r".repeat(1_000))
            )
            val lost = odd.takeIf { neverRepeat }.orEmpty()
                .dropLast(1)
                .map { DocumentChange.RecordUnknownOutcome(key, it) }
            val document = ShardDocument(jobs = listOf(record))
            val most = DocumentSpace.maxBytes(record)
            for (part in listOf(changes.take(1), changes.take(1) + lost, lost + changes)) {
                val grown = document.with(part, "h1", 1).jobs.single()
                expectThat(Json.encodeToString(JobRecord.serializer(), grown).length)
                    .isLessThanOrEqualTo(most)
            }
        }
    }

    @Test
    fun `a compacted job keeps its name and state and is not accepted again`() {
        val cancelled = DocumentChange.CancelJob(key, 3, "cancelled")
        val compacted = ShardDocument()
            .with(listOf(accepted, cancelled, DocumentChange.CompactJobs(setOf(key))), "h1", 1)
        val document = ShardDocument.parseOrNull(compacted.print()) ?: error("unreadable")
        expectThat(document.jobs).hasSize(0)
        expectThat(document.stateOf(key)).isEqualTo(JobState.CANCELLED)
        expectThat(document.stateOf(JobKey("nets", "other"))).isEqualTo(null)
        expectThat(document.with(listOf(accepted, cancelled), "h1", 1)).isEqualTo(document)
    }

    @Test
    fun `an open job is not compacted`() {
        expectThat(after(DocumentChange.CompactJobs(setOf(key))).state).isEqualTo(JobState.ACCEPTED)
    }

    @Test
    fun `a job whose name was removed is accepted only from a configuration that is not older`() {
        val names = EndedNames.EMPTY.plus(mapOf("survey" to JobState.FINISHED))
        val ended = ShardDocument(ended = mapOf("nets" to names), revisions = mapOf("nets" to 4))
        val stale = DocumentChange.RemoveNames("nets", 3, names)
        expectThat(ended.with(listOf(stale), "h1", 1).stateOf(key)).isEqualTo(JobState.FINISHED)
        val removed = ended.with(listOf(DocumentChange.RemoveNames("nets", 6, names)), "h1", 1)
        expectThat(removed.ended).isEqualTo(emptyMap())
        expectThat(removed.with(listOf(accepted), "h1", 1).jobs).hasSize(0)
        val newer = accepted.copy(revision = 7)
        expectThat(removed.with(listOf(newer), "h1", 1).jobs).hasSize(1)
    }

    @Test
    fun `oldestExcept returns the oldest names that are not listed`() {
        val states = JobState.entries.filter { it != JobState.ACCEPTED }
        val names = (0 until 1_000).associate { "job$it" to states[it % states.size] }
        val ended = EndedNames.EMPTY.plus(names).plus(names)
        expectThat(ended.size).isEqualTo(1_000)
        expectThat(names.all { (name, state) -> ended.stateOf(name) == state }).isTrue()
        val oldest = ended.oldestExcept(listOf("job1"), count = 2)
        val left = ended - oldest
        expectThat((0..3).map { left.stateOf("job$it") != null })
            .isEqualTo(listOf(false, true, false, true))
        expectThat(listOf("abc", "*23456789", "abcdefg").map(EndedNames::parseOrNull))
            .isEqualTo(listOf(null, null, null))
    }

    @Test
    fun `a document contains the last writes of the most recent writers`() {
        var document = ShardDocument().with(emptyList(), "old", 5)
        expectThat(document.hasWrite("old", 5)).isTrue()
        expectThat(document.hasWrite("old", 6)).isFalse()
        repeat(ShardDocument.MAX_WRITERS) {
            document = document.with(emptyList(), "writer$it", 1)
        }
        expectThat(document.hasWrite("old", 5)).isFalse()
        expectThat(document.sequences.keys).hasSize(ShardDocument.MAX_WRITERS)
    }

    private fun after(vararg changes: DocumentChange): JobRecord =
        ShardDocument().with(listOf(accepted) + changes, "h1", 1).job(key) ?: error("no record")
}
