package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.Resources

/** Tests of workers whose capacity shrinks and grows while they run tasks. */
class CapacityTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val workers = ObedientWorkers(driver, tailMillis = 10.0)

    private fun list(id: String, capacity: Resources) =
        scheduler.onWorkerListed(driver.listing(id).copy(capacity = capacity), driver.now)

    private fun fixed(demand: Resources) = WorkflowStep(1, demand, isLongRunning = true)

    private fun serving(milliCpus: Long) =
        fixed(Resources(milliCpus, 1_000)).copy(image = "serving", targetTailMillis = 100)

    private val onIdleCpu = WorkflowStep(
        1,
        Resources(1_000, 1_000),
        image = "batch",
        usesIdleCpu = true,
        savesProgress = true
    )

    @Test
    fun `starts nothing on a worker whose runs exceed a dimension of its capacity`() {
        val demand = Resources(10_000, 10_000, accelerators = 2)
        val full = Resources(32_000, 128_000, accelerators = 8)
        val reduced = listOf(
            full.copy(milliCpus = 5_000),
            full.copy(memoryMib = 5_000),
            full.copy(accelerators = 1),
            Resources.NONE
        )
        driver.listWorkers("w1")
        list("w1", full)
        workers.submit("running", fixed(demand))
        for ((i, capacity) in reduced.withIndex()) {
            list("w1", capacity)
            workers.submit("small$i", fixed(Resources(100, 100)))
            workers.submit("idle$i", onIdleCpu)
        }
        expectThat(workers.running.map { it.task.workflow }).isEqualTo(listOf("running"))
        expectThat(workers.stopped).isEmpty()
    }

    @Test
    fun `uses capacity that has grown again at once`() {
        driver.listWorkers("w1")
        list("w1", Resources(1_000, 128_000))
        workers.submit("job", fixed(Resources(10_000, 1_000)))
        expectThat(workers.running).isEmpty()
        list("w1", Resources(32_000, 128_000))
        workers.run(50)
        expectThat(workers.workerOf("job")).isNotNull()
    }

    @Test
    fun `counts starts without an answer against the capacity`() {
        driver.listWorkers("w1")
        list("w1", Resources(3_000, 128_000))
        driver.submit(driver.workflow("job", driver.taskStep(5)))
        driver.step()
        expectThat(driver.starts).hasSize(3)
        driver.step(1_000)
        expectThat(driver.starts).isEmpty()
    }

    /** Stops the only run that fits on w1, for which another task waits; returns its row. */
    private fun stopRunOnFullWorker(): RunningRow {
        driver.listWorkers("w1")
        list("w1", Resources(1_000, 128_000))
        driver.submit(driver.workflow("first"))
        driver.step()
        val first = driver.starts.single().also(driver::confirmStart)
        val row = RunningRow(first.task, first.run, "", 10, null)
        driver.polls.forEach { driver.report(it, listOf(row)) }
        driver.submit(driver.workflow("second"))
        scheduler.onWorkflowCancelled("first", driver.now, driver.now)
        driver.step()
        val stop = driver.stops.single()
        scheduler.onStopAnswer(stop, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        return row
    }

    @Test
    fun `counts a stopped run against the capacity until a later report lacks it`() {
        val row = stopRunOnFullWorker()
        repeat(10) {
            driver.step()
            expectThat(driver.starts).isEmpty()
            driver.polls.forEach { driver.report(it, listOf(row)) }
        }
        driver.step()
        driver.polls.forEach { driver.report(it) }
        driver.step()
        expectThat(driver.starts.single().task.workflow).isEqualTo("second")
    }

    @Test
    fun `counts runs that a worker reports to a new owner against the capacity`() {
        scheduler.addRosteredWorker(driver.ref("w1"), driver.now + 5_000)
        driver.submit(driver.workflow("old"), isRecovered = true)
        driver.submit(driver.workflow("new"))
        list("w1", Resources(1_000, 128_000))
        val row = RunningRow(TaskName("old", 0, 0, 0), 1, "", 10, null)
        repeat(10) {
            driver.step()
            expectThat(driver.starts).isEmpty()
            driver.polls.forEach { driver.report(it, listOf(row)) }
        }
    }

    @Test
    fun `places by the capacity of a worker's next incarnation`() {
        scheduler.onWorkersListed(
            listOf(driver.listing("w1").copy(startedUnixMillis = 1)),
            driver.now
        )
        driver.settle()
        val next = driver.listing("w1")
            .copy(startedUnixMillis = 2, capacity = Resources(1_000, 128_000))
        scheduler.onWorkerListed(next, driver.now)
        driver.submit(driver.workflow("job", driver.taskStep(4)))
        val starts = ArrayList<StartOrder>()
        repeat(8) {
            driver.step()
            starts += driver.starts
            driver.polls.forEach { driver.report(it, started = 2) }
        }
        expectThat(starts).hasSize(1)
    }

    // Guards against starts by the capacity and the labels of an incarnation that is gone.
    @Test
    fun `starts nothing on a worker whose entry is one of an earlier incarnation`() {
        val entry = driver.listing("w1").copy(startedUnixMillis = 1)
        scheduler.onWorkersListed(listOf(entry), driver.now)
        driver.submit(driver.workflow("job", driver.taskStep(4)))
        val starts = ArrayList<StartOrder>()
        fun settle() = repeat(8) {
            driver.step()
            starts += driver.starts
            driver.polls.forEach { driver.report(it, started = 2) }
        }
        settle()
        expectThat(starts).isEmpty()
        val next = entry.copy(startedUnixMillis = 2, capacity = Resources(1_000, 128_000))
        scheduler.onWorkerListed(next, driver.now)
        settle()
        expectThat(starts).hasSize(1)
    }

    // Guards against starts that a worker takes although its runs reserve more than its capacity.
    @Test
    fun `starts no task on idle CPU where runs reserve more than the capacity`() {
        driver.listWorkers("w1")
        workers.submit("serving", serving(28_000))
        list("w1", Resources(20_000, 128_000))
        workers.submit("batch", onIdleCpu)
        expectThat(workers.workerOf("batch")).isNull()
        list("w1", Resources(32_000, 128_000))
        workers.run(200)
        expectThat(workers.workerOf("batch")).isNotNull()
    }

    // Guards against counting as free what a run takes whose workflow ended under an earlier owner.
    @Test
    fun `starts nothing beside a run of an ended workflow until that is no longer reported`() {
        val ended = driver.workflow("ended", driver.taskStep())
        val progress = WorkflowProgress(WorkflowPhase.CANCELLED)
        scheduler.onWorkflowAccepted(ended, progress, isRecovered = true, driver.now, driver.now)
        scheduler.onWorkersListed(
            listOf(driver.listing("w1").copy(capacity = Resources(1_000, 128_000))),
            driver.now
        )
        driver.submit(driver.workflow("next"))
        val row = RunningRow(TaskName("ended", 0, 0, 0), 1, "", 10, null)
        val stops = ArrayList<StopOrder>()
        repeat(10) {
            driver.step()
            expectThat(driver.starts).isEmpty()
            stops += driver.stops
            driver.polls.forEach { driver.report(it, listOf(row)) }
        }
        expectThat(stops.map { it.task }.distinct()).isEqualTo(listOf(row.task))
        driver.settleWithStarts()
        driver.report(driver.freshPoll("w1"))
        expectThat(scheduler.phaseOrNull("next")).isEqualTo(WorkflowPhase.RUNNING)
    }

    // Guards against a task that waits for room that its worker no longer has.
    @Test
    fun `starts a moved task elsewhere at once if its destination shrinks`() {
        driver.listWorkers("w1")
        workers.submit("job", serving(10_000))
        list("w2", Resources(32_000, 128_000))
        list("w3", Resources(32_000, 128_000))
        workers.run(500)
        scheduler.onWorkerListed(driver.listing("w1", isDraining = true), driver.now)
        workers.run(50)
        val moved = driver.actions.filterIsInstance<SchedulerAction.Log>()
            .single { it.event.name == "run-moved" }
        val destination = moved.event.fields["destination"] as String
        list(destination, Resources(4_000, 128_000))
        workers.run(200)
        expectThat(workers.workerOf("job")?.id).isNotNull().isNotEqualTo(destination)
    }

    // Guards against neighbours that push a serving task over its target unnoticed.
    @Test
    fun `stops neighbours of a serving task over its target on a worker listed without CPU`() {
        driver.listWorkers("w1")
        val overTarget = ObedientWorkers(driver, tailMillis = 150.0)
        workers.submit("serving", serving(10_000))
        workers.submit("batch", onIdleCpu)
        overTarget.running += workers.running
        expectThat(overTarget.running).hasSize(2)
        list("w1", Resources(0, 128_000))
        // Shorter than the time after which a run without progress is stopped.
        overTarget.run(1_500)
        expectThat(overTarget.stopped.map { it.task.workflow }.distinct())
            .isEqualTo(listOf("batch"))
    }

    // Guards against counting room as free between a stop and the end that the worker lists.
    @Test
    fun `counts a stopped run for the longest stop although reports lack it meanwhile`() {
        stopRunOnFullWorker()
        val fencedMillis = driver.now
        do {
            driver.step(10)
            driver.polls.forEach { driver.report(it) }
        } while (driver.starts.isEmpty() && driver.now < fencedMillis + 1_000)
        expectThat(driver.now - fencedMillis).isIn(SchedulerSettings.DEFAULT_STOP_MILLIS..400L)
    }

    @Test
    fun `places a task that demands no CPU on a worker listed without CPU`() {
        driver.listWorkers("w1")
        list("w1", Resources(0, 128_000))
        list("w2", Resources(0, 128_000))
        workers.submit("job", fixed(Resources(0, 1_000)))
        expectThat(workers.workerOf("job")).isNotNull()
    }

    // Guards against starts by an entry that a later one has replaced.
    @Test
    fun `ignores an earlier entry that arrives after a later one`() {
        driver.listWorkers("w1")
        val shrunk = driver.listing("w1").copy(capacity = Resources.NONE, revision = 8)
        scheduler.onWorkerListed(shrunk, driver.now)
        scheduler.onWorkerListed(driver.listing("w1").copy(revision = 7), driver.now)
        workers.submit("job", fixed(Resources(1_000, 1_000)))
        expectThat(workers.running).isEmpty()
        scheduler.onWorkerListed(driver.listing("w1").copy(revision = 9), driver.now)
        workers.run(200)
        expectThat(workers.workerOf("job")).isNotNull()
    }

    /** Runs one task on w1, whose service doesn't guard its capacity, then waits [millis]. */
    private fun startUnguarded(millis: Long): SchedulerDriver {
        val unguarded = SchedulerDriver(guardsCapacity = false)
        unguarded.listWorkers("w1")
        unguarded.submit(unguarded.workflow("first"))
        unguarded.step()
        val run = unguarded.starts.single().also(unguarded::confirmStart)
        repeat((millis / 50).toInt()) {
            unguarded.step()
            unguarded.polls.forEach {
                val percent = it.sentMillis.toInt()
                unguarded.report(it, listOf(RunningRow(run.task, run.run, "", percent, null)))
            }
        }
        unguarded.submit(unguarded.workflow("second"))
        return unguarded
    }

    /** Returns the workflows that start within [millis]. */
    private fun SchedulerDriver.startsWithin(millis: Long): List<String> =
        (1..millis / 50).flatMap {
            step()
            starts.map { it.task.workflow }
        }

    // Guards against starts that exceed a capacity that shrank while the owner had no news of it.
    @Test
    fun `starts nothing by an old entry on a worker that takes what exceeds its capacity`() {
        val unguarded = startUnguarded(millis = 3_000)
        expectThat(unguarded.startsWithin(500)).isEmpty()
        // An entry that is listed again isn't news of the worker.
        unguarded.scheduler.onWorkersListed(listOf(unguarded.listing("w1")), unguarded.now)
        expectThat(unguarded.startsWithin(500)).isEmpty()
        val renewed = unguarded.listing("w1").copy(revision = 1)
        unguarded.scheduler.onWorkerListed(renewed, unguarded.now)
        expectThat(unguarded.startsWithin(200)).isEqualTo(listOf("second"))
    }

    @Test
    fun `starts tasks by an unchanged entry while the list is confirmed`() {
        val unguarded = startUnguarded(millis = 3_000)
        val started = (1..10).flatMap {
            unguarded.scheduler.onWorkersConfirmed(unguarded.now)
            unguarded.startsWithin(500)
        }
        expectThat(started).isEqualTo(listOf("second"))
    }

    // Guards against entries that no worker could renew while the store was down.
    @Test
    fun `starts nothing by an old entry before workers had the time to renew theirs`() {
        val unguarded = startUnguarded(millis = 3_000)
        unguarded.scheduler.onWorkersConfirmed(unguarded.now)
        expectThat(unguarded.startsWithin(1_500)).isEmpty()
        unguarded.scheduler.onWorkersConfirmed(unguarded.now)
        expectThat(unguarded.startsWithin(1_000)).isEqualTo(listOf("second"))
    }

    @Test
    fun `starts tasks by an old entry on a worker that guards its capacity`() {
        val unguarded = startUnguarded(millis = 3_000)
        unguarded.scheduler.updatePolicies(emptyMap(), setOf("service"))
        expectThat(unguarded.startsWithin(200)).isEqualTo(listOf("second"))
    }

    @Test
    fun `logs a change of a worker's capacity once, with what its runs reserve`() {
        driver.listWorkers("w1")
        workers.submit("job", fixed(Resources(10_000, 2_000)))
        repeat(3) { list("w1", Resources(5_000, 1_000)) }
        val event = driver.step().filterIsInstance<SchedulerAction.Log>().map { it.event }
            .single { it.name == "worker-capacity" }
        expectThat(event.fields["milliCpus"]).isEqualTo(5_000L)
        expectThat(event.fields["before"]).isEqualTo(32_000L)
        expectThat(event.fields["firm"]).isEqualTo(10_000L)
    }
}
