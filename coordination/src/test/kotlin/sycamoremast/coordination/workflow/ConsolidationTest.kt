package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import sycamoremast.coordination.Resources

/** Tests of serving tasks that lost tasks of another image have joined. */
class ConsolidationTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val running = ArrayList<StartOrder>()
    private val lastEnd = HashMap<WorkerRef, Long>()
    private val stopped = ArrayList<StopOrder>()

    private fun serving(image: String, count: Int = 1, mayMiss: Int = 0) = WorkflowStep(
        count,
        Resources(14_000, 1_000),
        isLongRunning = true,
        image = image,
        targetTailMillis = 100,
        mayMiss = mayMiss
    )

    /** Half of the neighbours' images are heavy beside "a", the other half beside "b". */
    private val learned = listOf(
        PairEffect("a", "x", 9.0, variance = 0.1),
        PairEffect("b", "x", 0.1, variance = 0.1),
        PairEffect("a", "y", 0.1, variance = 0.1),
        PairEffect("b", "y", 9.0, variance = 0.1)
    )

    /** Steps for [millis]; workers confirm starts, carry out stops and report what runs. */
    private fun run(millis: Int, percent: (TaskName) -> Int = { Placement.FULL_PACE }) =
        repeat(millis / STEP_MILLIS) {
            driver.step(STEP_MILLIS.toLong())
            driver.starts.forEach {
                running += it
                driver.confirmStart(it)
            }
            val stops = driver.stops
            stopped += stops
            stops.forEach {
                scheduler.onStopAnswer(it, WorkerAnswer.Done(driver.now, driver.now), driver.now)
            }
            driver.polls.filter { it.worker.id != "gone" }.forEach { report(it, stops, percent) }
        }

    private fun report(poll: PollOrder, stops: List<StopOrder>, percent: (TaskName) -> Int) {
        val ends = stops.filter { it.worker == poll.worker }.map { stop ->
            running.removeAll { it.task == stop.task }
            val number = lastEnd.merge(stop.worker, 1, Long::plus) ?: 1
            EndedRow(number, stop.task, stop.run, RunEnd.STOPPED, "")
        }
        val rows = running.filter { it.worker == poll.worker }
            .map { RunningRow(it.task, it.run, "", percent(it.task), TAIL_MILLIS) }
        driver.report(poll, running = rows, ended = ends)
    }

    private fun submit(id: String, step: WorkflowStep) {
        driver.submit(driver.workflow(id, step))
        run(1_000)
    }

    /** Starts tasks of "a" and of "b" on w1, then further ones on w2; no worker has more room. */
    private fun startMixed(mayMiss: Int = 0) {
        driver.listWorkers("w1")
        submit("a1", serving("a"))
        submit("b1", serving("b"))
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        run(500)
        submit("a2", serving("a", mayMiss = mayMiss))
        submit("b2", serving("b"))
    }

    private fun workerOf(workflow: String) = running.single { it.task.workflow == workflow }.worker

    @Test
    fun `exchanges serving tasks of workers without room so that each serves one image`() {
        startMixed()
        expectThat(workerOf("a1")).isNotEqualTo(workerOf("a2"))
        scheduler.restoreInterference(InterferenceRecord(learned, driver.now), driver.now)
        run(12_000)
        expectThat(workerOf("a1")).isEqualTo(workerOf("a2"))
        expectThat(workerOf("b1")).isEqualTo(workerOf("b2"))
        expectThat(stopped.map { it.task }.toSet().size).isEqualTo(2)
    }

    @Test
    fun `moves no serving task while no neighbour has been observed`() {
        startMixed()
        run(12_000)
        expectThat(stopped).isEmpty()
    }

    @Test
    fun `moves no serving task of a step that misses as many as it may`() {
        driver.listWorkers("w1")
        submit("b1", serving("b"))
        submit("a1", serving("a", count = 2, mayMiss = 1))
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        run(500)
        submit("b2", serving("b"))
        scheduler.restoreInterference(InterferenceRecord(learned, driver.now), driver.now)
        val away = running.single { it.task.workflow == "a1" && it.worker.id == "w2" }.task
        run(12_000) { if (it == away) 50 else Placement.FULL_PACE }
        expectThat(stopped).all { get { task.workflow }.isNotEqualTo("a1") }
    }

    @Test
    fun `moves no serving task while a recovered one may still run on a lost worker`() {
        startMixed()
        scheduler.addRosteredWorker(driver.ref("gone"), driver.now + 20_000)
        scheduler.restoreInterference(InterferenceRecord(learned, driver.now), driver.now)
        run(12_000)
        expectThat(stopped).isEmpty()
    }

    private companion object {
        const val STEP_MILLIS = 50

        /** Half of the target. */
        const val TAIL_MILLIS = 50.0
    }
}
