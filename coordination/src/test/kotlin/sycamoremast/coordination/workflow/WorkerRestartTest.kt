package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import sycamoremast.coordination.workflow.WorkerAnswer.Unknown

/** Workers that restart under their IDs, of which only a report tells. */
class WorkerRestartTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    /** Lets the only worker end [number] tasks, acknowledges that, and stays idle for a while. */
    private fun ended(number: Int) {
        driver.workers("w1")
        driver.submit(driver.workflow("earlier", driver.tasks(number)))
        driver.step()
        val ends = driver.starts.onEach(driver::done).mapIndexed { i, start ->
            EndedRow(i + 1L, start.task, start.run, RunEnd.DONE, "")
        }
        driver.report(driver.freshPoll("w1"), ended = ends)
        driver.settle()
        expectThat(scheduler.phaseOrNull("earlier")).isEqualTo(WorkflowPhase.COMPLETED)
        repeat(IDLE_STEPS) { driver.step() }
    }

    private fun start(): StartOrder {
        driver.submit(driver.workflow("next"))
        driver.step()
        return driver.starts.single()
    }

    // Guards against a task that runs again after its end was forgotten unread.
    @Test
    fun `ends of an earlier life are not acknowledged to a worker that may have restarted`() {
        ended(3)
        start()
        expectThat(driver.polls.single().acknowledgedEnd).isEqualTo(0)
    }

    // Guards against a task that runs again after its end was forgotten unread.
    @Test
    fun `after a call without an answer nothing is acknowledged before the next report`() {
        driver.workers("w1")
        driver.submit(driver.workflow("earlier", driver.tasks(2)))
        driver.step()
        val (first, second) = driver.starts.onEach(driver::done)
        val end = EndedRow(1, first.task, first.run, RunEnd.DONE, "")
        val running = RunningRow(second.task, second.run, "", 50, null)
        driver.report(driver.freshPoll("w1"), listOf(running), listOf(end))
        repeat(3) { driver.step() }
        val acknowledging = driver.polls.single()
        expectThat(acknowledging.acknowledgedEnd).isEqualTo(1)
        driver.answer(acknowledging, Unknown("connection reset"))
        // An answered start says nothing of the life that answered it.
        scheduler.onStartAnswer(second, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        val doubtful = driver.freshPoll("w1")
        expectThat(doubtful.acknowledgedEnd).isEqualTo(0)
        driver.report(doubtful, listOf(running), listOf(end))
        expectThat(driver.freshPoll("w1").acknowledgedEnd).isEqualTo(1)
    }

    // Guards against a task that runs on two workers at once.
    @Test
    fun `a start that the new life may still carry out is not taken for lost`() {
        ended(1)
        val order = start()
        driver.report(driver.polls.single(), born = 2)
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        val again = ArrayList<StartOrder>()
        repeat(6) {
            driver.step()
            again += driver.starts
            driver.polls.forEach { driver.report(it, born = if (it.worker.id == "w1") 2 else 1) }
        }
        expectThat(again).isEmpty()
        scheduler.onStartAnswer(order, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        val end = EndedRow(1, order.task, order.run, RunEnd.DONE, "")
        driver.report(driver.freshPoll("w1"), ended = listOf(end), born = 2)
        driver.step()
        expectThat(driver.starts).isEmpty()
        expectThat(scheduler.phaseOrNull("next")).isEqualTo(WorkflowPhase.COMPLETED)
    }

    private companion object {
        /** Longer than a worker needs for a restart between two calls. */
        const val IDLE_STEPS = 60
    }
}
