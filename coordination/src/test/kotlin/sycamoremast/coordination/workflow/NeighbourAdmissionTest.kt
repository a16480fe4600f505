package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.map
import sycamoremast.coordination.Resources

/** Tests of batch tasks on idle CPU beside serving tasks whose headroom is near their target. */
class NeighbourAdmissionTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val running = ArrayList<StartOrder>()

    private fun serving(image: String) = WorkflowStep(
        1,
        Resources(20_000, 1_000),
        isLongRunning = true,
        image = image,
        targetTailMillis = 100
    )

    private fun batch(count: Int, image: String) = WorkflowStep(
        count,
        Resources(3_200, 1_000),
        estimateMillis = 2_000,
        image = image,
        usesIdleCpu = true
    )

    private fun restore(vararg effects: PairEffect) =
        scheduler.restoreInterference(InterferenceRecord(effects.toList(), driver.now), driver.now)

    private fun effect(serving: String, neighbour: String, effect: Double) =
        PairEffect(serving, neighbour, effect, variance = 0.1)

    /** Steps for a second; serving tasks report a tail latency of [tailMillis]. */
    private fun settle(tailMillis: Double) = repeat(20) {
        driver.step()
        driver.starts.forEach {
            running += it
            driver.confirmStart(it)
        }
        driver.polls.forEach { poll ->
            val rows = running.filter { it.worker == poll.worker }.map {
                RunningRow(it.task, it.run, "", Placement.FULL_PACE, tailMillis)
            }
            driver.report(poll, running = rows)
        }
    }

    /** Starts one serving task of each of [images], on a worker of its own. */
    private fun startServing(vararg images: String) {
        driver.listWorkers(*Array(images.size) { "w$it" })
        for (image in images) {
            driver.submit(driver.workflow("serving-$image", serving(image)))
            settle(TAIL_MILLIS)
        }
    }

    private fun workerOf(workflow: String) = running.single { it.task.workflow == workflow }.worker

    @Test
    fun `starts a task beside the serving task that it slows least`() {
        restore(effect("a", "batch", 9.0), effect("b", "batch", 0.5))
        startServing("a", "b")
        driver.submit(driver.workflow("job", batch(4, "batch")))
        driver.step()
        expectThat(driver.starts.map { it.worker }.toSet())
            .isEqualTo(setOf(workerOf("serving-b")))
    }

    @Test
    fun `starts no task that would push the only serving tasks over their target`() {
        restore(effect("a", "batch", 9.0))
        startServing("a")
        driver.submit(driver.workflow("job", batch(1, "batch")))
        driver.step()
        expectThat(driver.starts).isEmpty()
    }

    @Test
    fun `leaves workers that tolerate many images to tasks that no other worker tolerates`() {
        restore(
            effect("a", "other", 9.0),
            effect("a", "batch", 0.5),
            effect("b", "other", 0.5),
            effect("b", "batch", 0.5)
        )
        startServing("a", "b")
        driver.submit(driver.workflow("job", batch(1, "batch")))
        driver.step()
        expectThat(driver.starts).map { it.worker }.isEqualTo(listOf(workerOf("serving-a")))
    }

    @Test
    fun `starts one task to learn the effect of an unknown image`() {
        startServing("a")
        driver.submit(driver.workflow("job", batch(4, "unknown")))
        driver.step()
        expectThat(driver.starts).hasSize(1)
    }

    // Guards against shares of a capacity of 0: a successor reads a worker of the last owner's
    // roster before the platform lists it, as entries lapse while the store is down.
    @Test
    fun `learns nothing from a worker whose capacity is not known yet`() {
        val next = SchedulerDriver(epoch = 2)
        next.scheduler.addRosteredWorker(next.ref("w1"), next.now + 6_420)
        next.submit(next.workflow("serving", serving("a")), isRecovered = true)
        next.submit(next.workflow("job", batch(1, "batch")), isRecovered = true)
        val rows = listOf("serving", "job").map {
            RunningRow(TaskName(it, 0, 0, 0), 1, "", Placement.FULL_PACE, TAIL_MILLIS)
        }
        repeat(40) {
            next.step()
            next.polls.forEach { next.report(it, running = rows) }
        }
        val record = next.scheduler.handoverBatch(next.now, next.now).interference
        expectThat(record?.effects.orEmpty()).isEmpty()
    }

    private companion object {
        /** Two thirds of the target, a headroom of 1.5. */
        const val TAIL_MILLIS = 66.7
    }
}
