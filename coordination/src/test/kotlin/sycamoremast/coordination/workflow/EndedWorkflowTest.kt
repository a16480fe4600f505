package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class EndedWorkflowTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    private fun completeFirst() {
        driver.step()
        val order = driver.starts.single()
        driver.confirmStart(order)
        val done = EndedRow(1, order.task, order.run, RunEnd.DONE, "")
        driver.report(driver.freshPoll(order.worker.id), ended = listOf(done))
        driver.settle()
    }

    // Guards against an owner whose memory fills with what ended workflows were to run.
    @Test
    fun `keeps no more than the end of a workflow once that is durable`() {
        val fleet = Fleet(1, SchedulerSettings())
        val workflow = OpenWorkflow(driver.workflow(), isRecovered = false, driver.now)
        fleet.workflows[workflow.id] = workflow
        workflow.end(WorkflowPhase.FAILED, driver.now)
        workflow.lastChange = 1
        fleet.retireIfEnded(workflow)
        expectThat(fleet.workflows.keys).containsExactly("job")
        workflow.durablePhase = WorkflowPhase.FAILED
        workflow.durableChange = 1
        workflow.onPlaced()
        fleet.retireIfEnded(workflow)
        expectThat(fleet.workflows.keys).containsExactly("job")
        workflow.onReleased()
        fleet.retireIfEnded(workflow)
        expectThat(fleet.workflows.keys).isEmpty()
        expectThat("job" in fleet.endedWorkflows).isTrue()
    }

    // Guards against progress that is written again once it was deleted, which no one would delete.
    @Test
    fun `records nothing more of a workflow of which only the end is kept`() {
        val fleet = Fleet(1, SchedulerSettings())
        val recorder = Recorder(fleet, TailModel(), Standbys(fleet))
        val workflow = OpenWorkflow(driver.workflow(), isRecovered = false, driver.now)
        workflow.end(WorkflowPhase.FAILED, driver.now)
        workflow.durablePhase = WorkflowPhase.FAILED
        fleet.retireIfEnded(workflow)
        recorder.markChanged(workflow)
        fleet.retireIfEnded(workflow)
        recorder.step(driver.now, driver.now)
        val batches = fleet.outbox.filterIsInstance<SchedulerAction.Record>().map { it.batch }
        expectThat(batches.flatMap { it.progress.keys }).isEmpty()
        val dueMillis = driver.now + SchedulerSettings().retentionMillis(WorkflowPhase.FAILED)
        expectThat(fleet.endedWorkflows.takeDue(dueMillis, 25)).hasSize(1)
    }

    @Test
    fun `shows the end of a recovered workflow`() {
        val failed = WorkflowProgress(WorkflowPhase.FAILED)
        driver.submit(driver.workflow(), isRecovered = true, failed)
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.FAILED)
    }

    @Test
    fun `neither runs nor cancels a workflow again that has ended`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow())
        completeFirst()
        driver.submit(driver.workflow())
        scheduler.onWorkflowCancelled("job", driver.now, driver.now)
        repeat(4) {
            driver.settle()
            expectThat(driver.starts).isEmpty()
        }
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.COMPLETED)
    }
}
