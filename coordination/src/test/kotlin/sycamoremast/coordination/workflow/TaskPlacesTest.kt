package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Tests of the record of the worker on which a long-running task may run. */
class TaskPlacesTest {
    private val driver = SchedulerDriver()
    private val key = "0.0.0"

    private fun lasting(owner: SchedulerDriver) =
        owner.workflow("job", owner.taskStep().copy(isLongRunning = true))

    private fun SchedulerDriver.stepUntilRecorded(): Map<String, String>? {
        repeat(STEPS) {
            step()
            polls.forEach { report(it) }
            records.firstNotNullOfOrNull { it.progress["job"] }?.let { return it.places }
            if (records.isNotEmpty()) scheduler.onBatchDurable()
        }
        error("no record")
    }

    // Guards against a run of which no successor can know.
    @Test
    fun `orders the start of a long-running task once its place is durable`() {
        driver.listWorkers("w1")
        driver.areRecordsDurableAtOnce = false
        driver.submit(lasting(driver))
        expectThat(driver.stepUntilRecorded()).isEqualTo(mapOf(key to "w1"))
        repeat(STEPS) {
            driver.step()
            expectThat(driver.starts).isEmpty()
        }
        driver.scheduler.onBatchDurable()
        driver.step()
        expectThat(driver.starts.map { it.worker.id }).containsExactly("w1")
    }

    // Guards against a start at the place that was durable last, while another one may be by now.
    @Test
    fun `records a place that changes back before it orders the start`() {
        driver.listWorkers("w1")
        driver.areRecordsDurableAtOnce = false
        driver.submit(lasting(driver))
        driver.stepUntilRecorded()
        driver.scheduler.onBatchDurable()
        val drained = listOf(driver.listing("w1", isDraining = true), driver.listing("w2"))
        driver.scheduler.onWorkersListed(drained, driver.now)
        expectThat(driver.stepUntilRecorded()).isEqualTo(mapOf(key to "w2"))
        val changed = listOf(driver.listing("w1"), driver.listing("w2", isDraining = true))
        driver.scheduler.onWorkersListed(changed, driver.now)
        driver.step()
        expectThat(driver.starts).isEmpty()
        driver.scheduler.onBatchDurable()
        expectThat(driver.stepUntilRecorded()).isEqualTo(mapOf(key to "w1"))
        expectThat(driver.starts).isEmpty()
        driver.scheduler.onBatchDurable()
        driver.step()
        expectThat(driver.starts.map { it.worker.id }).containsExactly("w1")
    }

    /** The owner of epoch 2 with a recovered task whose last recorded place is "w1". */
    private fun successor(arePlacesRecorded: Boolean, progress: WorkflowProgress?) =
        SchedulerDriver(epoch = 2).apply {
            if (arePlacesRecorded) scheduler.arePlacesRecorded = true
            scheduler.onWorkersListed(listOf(listing("w1")), now)
            listOf("w1", "gone").forEach { scheduler.addRosteredWorker(ref(it), now + LEASE) }
            submit(lasting(this), isRecovered = true, progress)
        }

    private val recorded =
        WorkflowProgress(WorkflowPhase.RUNNING, hasBegun = true, places = mapOf(key to "w1"))

    /** Lets the owner go on for a second, "gone" not answering; returns whether it starts the task. */
    private fun SchedulerDriver.startsSoon(): Boolean {
        val until = now + 1_000
        while (now < until) {
            step()
            if (starts.isNotEmpty()) return true
            polls.forEach { answer(it) }
        }
        return false
    }

    private fun SchedulerDriver.answer(poll: PollOrder) {
        if (poll.worker.id ==
            "gone"
        ) {
            answer(poll, WorkerAnswer.Unknown("timeout"))
        } else {
            report(poll)
        }
    }

    @Test
    fun `starts a recovered task once its place has answered`() {
        expectThat(successor(arePlacesRecorded = true, recorded).startsSoon()).isTrue()
    }

    @Test
    fun `starts a recovered task without a record soon`() {
        expectThat(successor(arePlacesRecorded = true, null).startsSoon()).isTrue()
    }

    // Guards against a second run of a task that may run at a worker that doesn't answer.
    @Test
    fun `holds back a recovered task whose place has not answered`() {
        val places = recorded.copy(places = mapOf(key to "gone"))
        expectThat(successor(arePlacesRecorded = true, places).startsSoon()).isFalse()
    }

    // Guards against places that an owner of an earlier version has left behind.
    @Test
    fun `waits for all workers after an owner that recorded no places`() {
        expectThat(successor(arePlacesRecorded = false, recorded).startsSoon()).isFalse()
        expectThat(successor(arePlacesRecorded = false, null).startsSoon()).isFalse()
        val places = recorded.copy(places = null)
        expectThat(successor(arePlacesRecorded = true, places).startsSoon()).isFalse()
    }

    // Guards against a successor that trusts records which are not complete yet.
    @Test
    fun `says that places are recorded once all recovered tasks have durable ones`() {
        val owner = successor(arePlacesRecorded = false, recorded)
        owner.startsSoon()
        expectThat(owner.scheduler.handoverBatch(owner.now, owner.now).recordsPlaces).isFalse()
        owner.areRecordsDurableAtOnce = false
        var places: Map<String, String>? = null
        val task = TaskName("job", 0, 0, 0)
        while (places == null) {
            owner.step()
            owner.records.mapNotNull { it.progress["job"] }.forEach { places = it.places }
            if (places == null && owner.records.isNotEmpty()) owner.scheduler.onBatchDurable()
            owner.polls.forEach {
                val run = RunningRow(task, run = 7, "", percent = 100, gauge = null)
                if (it.worker.id == "gone" && owner.now > LEASE / 2) {
                    owner.report(it, running = listOf(run))
                } else {
                    owner.answer(it)
                }
            }
        }
        expectThat(places).isEqualTo(mapOf(key to "gone"))
        expectThat(owner.scheduler.handoverBatch(owner.now, owner.now).recordsPlaces).isFalse()
        owner.scheduler.onBatchDurable()
        owner.step(200)
        expectThat(owner.scheduler.handoverBatch(owner.now, owner.now).recordsPlaces).isTrue()
    }

    // Guards against a record for each task of a step whose tasks have to be spread.
    @Test
    fun `spreads the tasks of a step over workers with one record`() {
        driver.listWorkers("w1", "w2", "w3")
        driver.areRecordsDurableAtOnce = false
        val step = driver.taskStep(3).copy(isLongRunning = true, maxPerWorker = 1)
        driver.submit(driver.workflow("job", step))
        expectThat(driver.stepUntilRecorded()?.values?.sorted())
            .isEqualTo(listOf("w1", "w2", "w3"))
    }

    @Test
    fun `records no places of short tasks`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("job", driver.taskStep()))
        driver.step()
        expectThat(driver.starts).isNotEmpty()
        driver.starts.forEach(driver::confirmStart)
        driver.areRecordsDurableAtOnce = false
        expectThat(driver.stepUntilRecorded()).isNull()
    }

    private companion object {
        const val STEPS = 10
        const val LEASE = 8_000L
    }
}
