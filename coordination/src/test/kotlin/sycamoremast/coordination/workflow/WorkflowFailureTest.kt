package sycamoremast.coordination.workflow

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.map

class WorkflowFailureTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val task = TaskName("job", 0, 0, 0)
    private val recorded = ArrayList<WorkflowProgress>()
    private val durable = HashMap<String, WorkflowStatus>()

    private fun failNextRun(number: Long): StartOrder {
        repeat(MAX_STEPS) {
            step()
            driver.starts.singleOrNull()?.let { start ->
                driver.confirmStart(start)
                val end = EndedRow(number, start.task, start.run, RunEnd.FAILED, "")
                driver.report(driver.freshPoll(start.worker.id), ended = listOf(end))
                return start
            }
            driver.polls.forEach { driver.report(it) }
        }
        error("no start")
    }

    private fun step() {
        driver.areRecordsDurableAtOnce = false
        driver.step()
        driver.records.mapNotNullTo(recorded) { it.progress["job"] }
        if (driver.records.isNotEmpty()) durable += scheduler.onBatchDurable()
        driver.areRecordsDurableAtOnce = true
    }

    private fun failure(): WorkflowFailure? = recorded.last().failure

    @Test
    fun `records the task, its failed runs and their workers when attempts are used up`() {
        driver.listWorkers("w1", "w2")
        driver.submit(driver.workflow())
        val starts = listOf(failNextRun(1), failNextRun(2))
        step()
        val runs = starts.map { WorkflowFailure.Run(it.run, it.worker.id) }
        expectThat(failure())
            .isEqualTo(WorkflowFailure(task, FailureReason.ATTEMPTS_USED_UP, runs, 2))
        expectThat(durable["job"]).isEqualTo(WorkflowStatus(WorkflowPhase.FAILED, failure()))
        expectThat(recorded.dropLast(1)).all { get { failure }.isNull() }
        val logged = driver.actions.filterIsInstance<SchedulerAction.Log>()
            .single { it.event.name == "workflow-failed" }.event.fields
        expectThat(logged["reason"]).isEqualTo(FailureReason.ATTEMPTS_USED_UP)
        expectThat(logged["runs"]).isEqualTo(runs.joinToString(","))
    }

    @Test
    fun `names the runs that an earlier owner recorded without their workers`() {
        val failures = mapOf("0.0.0" to setOf(1))
        val progress = WorkflowProgress(WorkflowPhase.RUNNING, failures = failures, hasBegun = true)
        driver.listWorkers("w1")
        val workflow = driver.workflow()
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered = true, driver.now, driver.now)
        val start = failNextRun(1)
        step()
        expectThat(failure()?.runs.orEmpty())
            .containsExactly(WorkflowFailure.Run(1), WorkflowFailure.Run(start.run, "w1"))
    }

    // Guards against a workflow that a takeover fails, for crashes not blamed on it so far (LOST).
    @Test
    fun `fails no recovered workflow before another crash`() {
        val crashes = mapOf("0.0.0" to setOf(1, 2, 3, 4))
        val progress = WorkflowProgress(WorkflowPhase.RUNNING, hasBegun = true, crashes = crashes)
        driver.listWorkers("w1")
        val workflow = driver.workflow()
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered = true, driver.now, driver.now)
        repeat(4) { step() }
        expectThat(scheduler.phaseOrNull(workflow.id)).isEqualTo(WorkflowPhase.RUNNING)
    }

    // Guards against a deadly task that each owner starts anew.
    @Test
    fun `fails a recovered workflow with five recorded crashes, whatever explains them`() {
        val crashes = mapOf("0.0.0" to setOf(1, 2, 3, 4, 5))
        val progress = WorkflowProgress(
            WorkflowPhase.RUNNING,
            hasBegun = true,
            crashes = crashes,
            explainedCrashes = crashes
        )
        driver.listWorkers("w1")
        val workflow = driver.workflow()
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered = true, driver.now, driver.now)
        repeat(4) { step() }
        expectThat(scheduler.phaseOrNull(workflow.id)).isEqualTo(WorkflowPhase.FAILED)
    }

    @Test
    fun `restores which crashes are explained and records it unchanged`() {
        val progress = WorkflowProgress(
            WorkflowPhase.RUNNING,
            hasBegun = true,
            crashes = mapOf("0.0.0" to setOf(1, 2, 3)),
            explainedCrashes = mapOf("0.0.0" to setOf(1, 3))
        )
        val open = OpenWorkflow(driver.workflow(), isRecovered = true, acceptedMillis = 0)
        open.restore(progress)
        open.addOccurrence()
        open.restoreTasks(progress)
        expectThat(open.progress()).isEqualTo(progress)
    }

    @Test
    fun `restores the failure of an ended workflow and records it unchanged`() {
        val failure =
            WorkflowFailure.of(task, FailureReason.WORKERS_CRASHED, mapOf(1 to "w1", 2 to "w2"))
        val progress = WorkflowProgress(WorkflowPhase.FAILED, failure = failure)
        val open = OpenWorkflow(driver.workflow(), isRecovered = true, acceptedMillis = 0)
        open.restore(progress)
        expectThat(open.progress()).isEqualTo(progress)
    }

    @Test
    fun `names the latest runs and counts all`() {
        val runs = (1..20).associateWith { "w$it" }
        val failure = WorkflowFailure.of(task, FailureReason.ATTEMPTS_USED_UP, runs)
        expectThat(failure.runs).map { it.number }.isEqualTo((13..20).toList())
        expectThat(failure.runCount).isEqualTo(20)
    }

    @Test
    fun `reads records that were written without a failure`() {
        val progress = Json.decodeFromString<WorkflowProgress>("""{"phase":"FAILED"}""")
        expectThat(progress).isEqualTo(WorkflowProgress(WorkflowPhase.FAILED))
        expectThat(progress.failure).isNull()
    }

    @Test
    fun `reads records that were written without explained crashes`() {
        val text = """{"phase":"RUNNING","crashes":{"0.0.0":[1,2]}}"""
        expectThat(Json.decodeFromString<WorkflowProgress>(text)).isEqualTo(
            WorkflowProgress(WorkflowPhase.RUNNING, crashes = mapOf("0.0.0" to setOf(1, 2)))
        )
    }

    // Guards against an owner that can't take over as a later version has recorded a new reason.
    @Test
    fun `reads a reason of a later version as unknown`() {
        val text = """{"task":"job.0.0.0","reason":"NEW","runs":[],"runCount":0}"""
        expectThat(Json.decodeFromString<WorkflowFailure>(text).reason)
            .isEqualTo(FailureReason.UNKNOWN)
    }

    private companion object {
        const val MAX_STEPS = 50
    }
}
