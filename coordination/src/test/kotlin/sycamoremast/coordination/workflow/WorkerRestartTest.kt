package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import sycamoremast.coordination.workflow.WorkerAnswer.Unknown

/** Tests of workers that restart under their IDs, which only their reports show. */
class WorkerRestartTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    /** Ends [number] tasks on the only worker, acknowledges them and lets idle time pass. */
    private fun endTasks(number: Int) {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("earlier", driver.taskStep(number)))
        driver.step()
        val ends = driver.starts.onEach(driver::confirmStart).mapIndexed { i, start ->
            EndedRow(i + 1L, start.task, start.run, RunEnd.DONE, "")
        }
        driver.report(driver.freshPoll("w1"), ended = ends)
        driver.settle()
        expectThat(scheduler.phaseOrNull("earlier")).isEqualTo(WorkflowPhase.COMPLETED)
        repeat(IDLE_STEPS) { driver.step() }
    }

    private fun startNext(): StartOrder {
        driver.submit(driver.workflow("next"))
        driver.step()
        return driver.starts.single()
    }

    // Guards against a task that runs again after its end was forgotten unread.
    @Test
    fun `acknowledges no ends of an earlier incarnation to a worker that may have restarted`() {
        endTasks(3)
        startNext()
        expectThat(driver.polls.single().acknowledgedEnd).isEqualTo(0)
    }

    // Guards against a lease that relies on a heartbeat by the clock of a later incarnation (TWICE).
    @Test
    fun `takes no clock from an answer that does not tell the incarnation`() {
        driver.listWorkers("w1")
        val start = startNext()
        scheduler.onStartAnswer(start, WorkerAnswer.Done(0, driver.now), driver.now)
        driver.submit(driver.workflow("last"))
        driver.step()
        expectThat(driver.starts.single().leaseEndMillis)
            .isGreaterThanOrEqualTo(start.leaseEndMillis)
    }

    // Guards against tasks that wait for the next usual heartbeat after a worker's restart.
    @Test
    fun `writes a heartbeat soon after a worker has restarted`() {
        driver.listWorkers("w1")
        startNext()
        driver.report(driver.freshPoll("w1"), started = 2)
        driver.submit(driver.workflow("last"))
        expectThat(driver.step(1).filterIsInstance<SchedulerAction.Start>()).isEmpty()
        driver.polls.forEach { driver.report(it, started = 2) }
        expectThat(driver.step(1).filterIsInstance<SchedulerAction.Start>()).isEmpty()
        val nextMillis = SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS / 2
        expectThat(driver.step(nextMillis).any { it is SchedulerAction.Start }).isTrue()
    }

    // Guards against a task that runs again after its end was forgotten unread.
    @Test
    fun `acknowledges nothing between an unanswered call and the next report`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("earlier", driver.taskStep(2)))
        driver.step()
        val (first, second) = driver.starts.onEach(driver::confirmStart)
        val end = EndedRow(1, first.task, first.run, RunEnd.DONE, "")
        val running = RunningRow(second.task, second.run, "", 50, null)
        driver.report(driver.freshPoll("w1"), listOf(running), listOf(end))
        repeat(3) { driver.step() }
        val acknowledging = driver.polls.single()
        expectThat(acknowledging.acknowledgedEnd).isEqualTo(1)
        driver.answer(acknowledging, Unknown("connection reset"))
        // An answered start does not show which incarnation answered it.
        scheduler.onStartAnswer(second, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        val unacknowledging = driver.freshPoll("w1")
        expectThat(unacknowledging.acknowledgedEnd).isEqualTo(0)
        driver.report(unacknowledging, listOf(running), listOf(end))
        expectThat(driver.freshPoll("w1").acknowledgedEnd).isEqualTo(1)
    }

    // Guards against ends that come while a poll waits in a new incarnation, forgotten unread.
    @Test
    fun `acknowledges ends by polls that don't wait, and once only`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("earlier", driver.taskStep(2)))
        driver.step()
        val (first, second) = driver.starts.onEach(driver::confirmStart)
        val end = EndedRow(1, first.task, first.run, RunEnd.DONE, "")
        val running = RunningRow(second.task, second.run, "", 50, null)
        driver.report(driver.freshPoll("w1"), listOf(running), listOf(end))
        repeat(3) { driver.step() }
        val acknowledging = driver.polls.single()
        expectThat(acknowledging.acknowledgedEnd).isEqualTo(1)
        expectThat(acknowledging.waitMillis).isEqualTo(0)
        driver.report(acknowledging, listOf(running))
        val waiting = driver.freshPoll("w1")
        expectThat(waiting.acknowledgedEnd).isEqualTo(0)
        expectThat(waiting.waitMillis).isGreaterThan(0)
    }

    // Guards against a task that runs on two workers at the same time.
    @Test
    fun `keeps a start that a new incarnation may still carry out`() {
        endTasks(1)
        val order = startNext()
        driver.report(driver.polls.single(), started = 2)
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        val again = ArrayList<StartOrder>()
        repeat(6) {
            driver.step()
            again += driver.starts
            driver.polls.forEach { driver.report(it, started = if (it.worker.id == "w1") 2 else 1) }
        }
        expectThat(again).isEmpty()
        scheduler.onStartAnswer(order, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        val end = EndedRow(1, order.task, order.run, RunEnd.DONE, "")
        driver.report(driver.freshPoll("w1"), ended = listOf(end), started = 2)
        driver.step()
        expectThat(driver.starts).isEmpty()
        expectThat(scheduler.phaseOrNull("next")).isEqualTo(WorkflowPhase.COMPLETED)
    }

    private companion object {
        /** Longer than a worker needs to restart between two calls. */
        const val IDLE_STEPS = 60
    }
}
