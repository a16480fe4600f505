package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.map
import sycamoremast.coordination.Resources

/** Tests of workers that drain while long-running tasks are on them. */
class EvacuationTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    /** A worker with room for one task of 10 CPUs. */
    private val smallWorker = driver.listing("w2").copy(capacity = Resources(12_000, 128_000))

    private fun longRunning(count: Int, milliCpus: Long) =
        WorkflowStep(count, Resources(milliCpus, 1_000), isLongRunning = true)

    /** Starts [step] on w1, then lists [other] and drains w1; returns the starts on w1. */
    private fun startOnDraining(
        step: WorkflowStep,
        other: WorkerListing = driver.listing("w2")
    ): List<StartOrder> {
        driver.listWorkers("w1")
        driver.submit(driver.workflow(steps = arrayOf(step)))
        val started = ArrayList<StartOrder>()
        repeat(10) {
            driver.step()
            started += driver.starts
            driver.starts.forEach(driver::confirmStart)
            driver.polls.forEach { report(it, started) }
        }
        scheduler.onWorkerListed(other, driver.now)
        driver.step()
        driver.polls.filter { it.worker.id == "w2" }.forEach { driver.report(it) }
        // The heartbeat without which w2 gets no lease.
        driver.step(SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS)
        scheduler.onWorkerListed(driver.listing("w1", isDraining = true), driver.now)
        return started
    }

    private fun report(poll: PollOrder, running: List<StartOrder>) {
        val rows = running.filter { it.worker == poll.worker }
            .map { RunningRow(it.task, it.run, "", Placement.FULL_PACE, null) }
        driver.report(poll, running = rows)
    }

    @Test
    fun `moves long-running tasks off a draining worker to one with room`() {
        val first = startOnDraining(longRunning(2, 10_000))
        driver.step()
        val stops = driver.stops
        expectThat(stops).map { it.task }
            .containsExactlyInAnyOrder(first.map { it.task })
        val ends = stops.mapIndexed { i, stop ->
            scheduler.onStopAnswer(stop, WorkerAnswer.Done(driver.now, driver.now), driver.now)
            EndedRow(i + 1L, stop.task, stop.run, RunEnd.STOPPED, "")
        }
        driver.polls.filter { it.worker.id == "w1" }.forEach { driver.report(it, ended = ends) }
        driver.step()
        expectThat(driver.starts).map { it.worker.id }.isEqualTo(listOf("w2", "w2"))
        driver.starts.zip(first).forEach { (next, previous) ->
            expectThat(next.run).isGreaterThan(previous.run)
        }
    }

    @Test
    fun `stops only as many long-running tasks as fit elsewhere`() {
        startOnDraining(longRunning(3, 10_000), smallWorker)
        driver.step()
        expectThat(driver.stops).hasSize(1)
        repeat(10) { expectThat(driver.step().filterIsInstance<SchedulerAction.Stop>()).isEmpty() }
    }

    @Test
    fun `leaves long-running tasks on a draining worker while no other has room`() {
        startOnDraining(longRunning(1, 20_000), smallWorker)
        repeat(10) { expectThat(driver.step().filterIsInstance<SchedulerAction.Stop>()).isEmpty() }
    }

    // Guards against taking a worker with reserved room for one on which a serving task runs.
    @Test
    fun `places batch tasks on a worker that has room reserved for a serving task`() {
        val serving = longRunning(1, 10_000).copy(image = "serving", targetTailMillis = 100)
        startOnDraining(serving)
        driver.step()
        expectThat(driver.stops).hasSize(1)
        val batch = driver.taskStep().copy(image = "batch", usesIdleCpu = true)
        driver.submit(driver.workflow("batch", batch))
        driver.step()
        expectThat(driver.starts).map { it.worker.id }.isEqualTo(listOf("w2"))
    }

    @Test
    fun `leaves short tasks on a draining worker`() {
        startOnDraining(driver.taskStep())
        driver.step()
        expectThat(driver.stops).isEmpty()
    }

    @Test
    fun `grants a draining worker a short lease`() {
        val started = startOnDraining(driver.taskStep())
        driver.polls.forEach { report(it, started) }
        val lease = driver.freshPoll("w1").let { checkNotNull(it.leaseEndMillis) - it.sentMillis }
        // The worker's clock may be slow, so a lease is granted a little shorter.
        expectThat(lease).isIn(
            SchedulerSettings.DRAINING_LEASE_MILLIS - 100..SchedulerSettings.DRAINING_LEASE_MILLIS
        )
    }
}
