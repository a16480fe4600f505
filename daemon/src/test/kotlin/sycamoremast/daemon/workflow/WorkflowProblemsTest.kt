package sycamoremast.daemon.workflow

import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import strikt.assertions.map
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.FailureReason
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkflowFailure
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.daemon.log.EventLog

class WorkflowProblemsTest {
    private val store = MemoryStore()
    private val lines = CopyOnWriteArrayList<String>()
    private val log = EventLog { lines += it }
    private val problems = WorkflowProblems(store, 0, log)

    private fun record(
        id: String,
        reason: FailureReason?,
        runs: Map<Int, String?> = mapOf(1 to "w1", 2 to null),
        endedUnixMillis: Long = 1_000
    ) {
        val failure = reason?.let { WorkflowFailure.of(TaskName(id, 0, 0, 3), it, runs) }
        val phase = if (reason == null) WorkflowPhase.COMPLETED else WorkflowPhase.FAILED
        val progress =
            WorkflowProgress(phase, endedUnixMillis = endedUnixMillis, failure = failure)
        put(id, encodeRecord(progress))
    }

    private fun put(id: String, text: String) {
        val put = StorePut(WorkflowKeys.progress(0, id), text)
        store.apply(StoreTransaction(emptyMap(), listOf(put)))
    }

    private fun listed() = problems.list().getOrNull().orEmpty()

    @Test
    fun `lists a workflow under which workers crashed with its task, runs and workers`() {
        record("job", FailureReason.WORKERS_CRASHED)
        expectThat(listed()).containsExactly(
            ProblemView(
                id = "given_up/job",
                kind = "given_up",
                subject = "job",
                evidence = "workers crashed in 2 runs of task job.0.0.3 (run@worker: 1@w1, 2)",
                raisedBy = "owner of worker set 0",
                raisedAtMillis = 1_000
            )
        )
    }

    @Test
    fun `lists no workflow that failed by its own tasks, ended otherwise or is open`() {
        record("failed", FailureReason.ATTEMPTS_USED_UP)
        record("unknown", FailureReason.UNKNOWN)
        record("completed", null)
        put("running", encodeRecord(WorkflowProgress(WorkflowPhase.RUNNING)))
        put("earlier-version", encodeRecord(WorkflowProgress(WorkflowPhase.FAILED)))
        expectThat(problems.list().getOrNull()).isNotNull().isEmpty()
    }

    @Test
    fun `lists the newest problems first and no more than a hundred`() {
        for (i in 1..101) {
            record("job$i", FailureReason.WORKERS_CRASHED, endedUnixMillis = i.toLong())
        }
        expectThat(listed()).map { it.raisedAtMillis }.isEqualTo((101L downTo 2L).toList())
    }

    @Test
    fun `tells that a problem names the latest runs only`() {
        record("job", FailureReason.WORKERS_CRASHED, (1..9).associateWith { "w$it" })
        expectThat(listed().single().evidence)
            .contains("in 9 runs").contains("the latest, run@worker: 2@w2, 3@w3")
    }

    @Test
    fun `lists the others and logs a line if a record can't be read`() {
        put("broken", "unreadable")
        record("job", FailureReason.WORKERS_CRASHED)
        expectThat(listed()).map { it.subject }.containsExactly("job")
        log.close()
        expectThat(lines).any { contains("event=progress-unreadable records=1") }
    }

    @Test
    fun `tells that the problems can't be read during an outage of the store`() {
        store.isDown = true
        expectThat(problems.list().leftOrNull()?.retryAfterMillis).isNotNull()
    }

    @Test
    fun `reads the store for one request at a time`() {
        val isReading = CountDownLatch(1)
        val mayAnswer = CountDownLatch(1)
        val slow = object : TransactionalStore by store {
            override fun list(prefix: String, mayBeStale: Boolean) = store.list(prefix).also {
                isReading.countDown()
                mayAnswer.await()
            }
        }
        val slowProblems = WorkflowProblems(slow, 0, log)
        val first = CompletableFuture.supplyAsync(slowProblems::list)
        isReading.await()
        expectThat(slowProblems.list().leftOrNull()?.reason).isEqualTo("already reading them")
        mayAnswer.countDown()
        expectThat(first.get().isRight()).isTrue()
        expectThat(slowProblems.list().isRight()).isTrue()
    }

    @Test
    fun `does not call the store during a known outage`() {
        record("job", FailureReason.WORKERS_CRASHED)
        val refusing = WorkflowProblems(store, 0, log) { true }
        expectThat(refusing.list().leftOrNull()?.reason).isEqualTo("the store does not answer")
    }
}
