package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import sycamoremast.coordination.record.IndexSet

/** Tests of owners that know of more tasks than they keep in memory. */
class OpenTasksTest {
    private val driver = SchedulerDriver(settings = SchedulerSettings(maxOpenTasks = LIMIT))
    private val started = ArrayList<TaskName>()
    private val events = ArrayList<SchedulerEvent>()

    private fun submit(id: String, tasks: Int, isRecovered: Boolean = false) =
        driver.submit(driver.workflow(id, driver.taskStep(tasks)), isRecovered)

    private fun cancel(id: String) =
        driver.scheduler.onWorkflowCancelled(id, driver.now, driver.now)

    private fun play(steps: Int = 6) = repeat(steps) {
        driver.step()
        started += driver.starts.map { it.task }
        events += driver.actions.filterIsInstance<SchedulerAction.Log>().map { it.event }
        driver.starts.forEach(driver::confirmStart)
        driver.stops.forEach {
            val answer = WorkerAnswer.Done(driver.now, driver.now)
            driver.scheduler.onStopAnswer(it, answer, driver.now)
        }
        driver.polls.forEach { driver.report(it) }
    }

    private fun heldBack() = events.filter { it.name == "workflow-held-back" }.map { it.id }

    // Guards against one workflow that takes more memory than any owner has.
    @Test
    fun `starts other workflows beside one with more tasks than can be kept`() {
        driver.listWorkers("w1")
        submit("enormous", 700_000, isRecovered = true)
        submit("small", 2)
        play()
        expectThat(started.map { it.workflow }.distinct()).containsExactly("small")
        expectThat(heldBack()).containsExactly("enormous")
    }

    // Guards against many workflows that together take more memory than any owner has.
    @Test
    fun `opens workflows with many tasks one after the other and small ones beside them`() {
        repeat(20) { submit("large$it", LARGE) }
        submit("small", 2)
        play()
        expectThat(heldBack()).hasSize(19)
        repeat(20) {
            cancel("large$it")
            play(2)
        }
        submit("last", LARGE)
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        play()
        expectThat(started.map { it.workflow }.distinct()).contains("small", "last")
    }

    @Test
    fun `starts the tasks of a workflow that was held back once others have ended`() {
        driver.listWorkers("w1")
        submit("first", LARGE)
        submit("second", LARGE)
        play(1)
        expectThat(started.filter { it.workflow == "second" }).isEmpty()
        cancel("first")
        play(30)
        expectThat(started.filter { it.workflow == "second" }).isNotEmpty()
    }

    // Guards against tasks that run again as what an earlier owner recorded of them was held back.
    @Test
    fun `opens a workflow with recorded progress although there is no room`() {
        driver.listWorkers("w1")
        submit("first", LARGE)
        val done = IndexSet.EMPTY + (0 until LARGE - 1).toList()
        val progress = WorkflowProgress(WorkflowPhase.RUNNING, doneTasks = mapOf("0.0" to done))
        val second = driver.workflow("second", driver.taskStep(LARGE))
        cancel("first")
        submit("other", LARGE)
        driver.scheduler.onWorkflowAccepted(second, progress, true, driver.now, driver.now)
        cancel("other")
        play(30)
        expectThat(started.filter { it.workflow == "second" }.distinct())
            .containsExactly(TaskName("second", 0, 0, LARGE - 1))
    }

    @Test
    fun `adopts a run of a workflow that is held back`() {
        submit("first", LARGE)
        submit("second", LARGE, isRecovered = true)
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.step()
        val running = TaskName("second", 0, 0, 3)
        driver.polls.forEach { driver.report(it, listOf(RunningRow(running, 1, "", 10, null))) }
        driver.step()
        val adopted = driver.actions.filterIsInstance<SchedulerAction.Log>().map { it.event }
            .filter { it.name == "run-adopted" }
        expectThat(adopted.map { it.id }).containsExactly(running.toString())
        expectThat(driver.stops).isEmpty()
    }

    private companion object {
        const val LIMIT = 1_000L

        /** More than half of what workflows with many tasks may take. */
        const val LARGE = 300
    }
}
