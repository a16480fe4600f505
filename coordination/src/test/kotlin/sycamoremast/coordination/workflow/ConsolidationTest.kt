package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import sycamoremast.coordination.Resources

/** Tests of serving tasks of two images that share workers on which no further one has room. */
class ConsolidationTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val workers = ObedientWorkers(driver, tailMillis = 50.0)

    private fun serving(image: String, count: Int = 1, mayMiss: Int = 0) = WorkflowStep(
        count,
        Resources(14_000, 1_000),
        isLongRunning = true,
        image = image,
        targetTailMillis = 100,
        mayMiss = mayMiss
    )

    /** Restores estimates by which one neighbour is heavy beside "a" and the other beside "b". */
    private fun restoreEffects() {
        val effects = listOf(
            PairEffect("a", "x", 9.0, variance = 0.1),
            PairEffect("b", "x", 0.1, variance = 0.1),
            PairEffect("a", "y", 0.1, variance = 0.1),
            PairEffect("b", "y", 9.0, variance = 0.1)
        )
        scheduler.restoreInterference(InterferenceRecord(effects, driver.now), driver.now)
    }

    private fun startMixed() {
        driver.listWorkers("w1")
        workers.submit("a1", serving("a"))
        workers.submit("b1", serving("b"))
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        workers.run(500)
        workers.submit("a2", serving("a"))
        workers.submit("b2", serving("b"))
    }

    @Test
    fun `exchanges serving tasks so that each worker serves one image`() {
        startMixed()
        expectThat(workers.workerOf("a1")).isNotNull().isNotEqualTo(workers.workerOf("a2"))
        restoreEffects()
        workers.run(12_000)
        expectThat(workers.workerOf("a1")).isNotNull().isEqualTo(workers.workerOf("a2"))
        expectThat(workers.workerOf("b1")).isNotNull().isEqualTo(workers.workerOf("b2"))
        expectThat(workers.stopped.map { it.task }.toSet()).hasSize(2)
    }

    @Test
    fun `moves no serving task while no neighbour has been observed`() {
        startMixed()
        workers.run(12_000)
        expectThat(workers.stopped).isEmpty()
    }

    @Test
    fun `moves no serving task of a step that misses as many as it may`() {
        driver.listWorkers("w1")
        workers.submit("b1", serving("b"))
        workers.submit("a", serving("a", count = 2, mayMiss = 1))
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        workers.run(500)
        workers.submit("b2", serving("b"))
        restoreEffects()
        val away = workers.running.single { it.task.workflow == "a" && it.worker.id == "w2" }
        workers.percents[away.task] = 50
        workers.run(12_000)
        expectThat(workers.stopped).all { get { task.workflow }.isNotEqualTo("a") }
    }

    @Test
    fun `moves no serving task while recovered ones may still run on a lost worker`() {
        startMixed()
        workers.silent += "gone"
        scheduler.addRosteredWorker(driver.ref("gone"), driver.now + 20_000)
        restoreEffects()
        workers.run(12_000)
        expectThat(workers.stopped).isEmpty()
    }

    // Guards against moves that gain little, as a share of no CPU is no bound.
    @Test
    fun `moves no serving task for little gain where a worker is listed without CPU`() {
        fun small(image: String) = serving(image).copy(demand = Resources(9_000, 1_000))
        driver.listWorkers("w1")
        listOf("a1", "a2", "b1").forEach { workers.submit(it, small(it.take(1))) }
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        workers.run(500)
        workers.submit("b2", serving("b"))
        val light = listOf("a", "b").map { PairEffect(it, "x", 0.1, variance = 0.1) }
        scheduler.restoreInterference(InterferenceRecord(light, driver.now), driver.now)
        workers.run(8_000)
        expectThat(workers.stopped).isEmpty()
        val withoutCpu = driver.listing("w1").copy(capacity = Resources(0, 128_000))
        scheduler.onWorkerListed(withoutCpu, driver.now)
        workers.run(8_000)
        expectThat(workers.stopped).isEmpty()
    }
}
