/** Tests the interference estimates and the actions taken on them. */
package sycamoremast.coordination.interference

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import sycamoremast.coordination.record.JobKey

class InterferenceControlTest {
    private val sensitive = JobKey("nets", "photos")
    private val ordinary = JobKey("nets", "reports")
    private val noisy = JobKey("fish", "recount")

    @Test
    fun `the estimate of each pair converges and gains confidence`() {
        val model = InterferenceModel()
        val random = Random(1)
        repeat(200) {
            val neighbours = listOf(ordinary, noisy).filter { random.nextBoolean() }
            val slowdown = neighbours.fold(1.0) { sum, job -> sum * if (job == noisy) 3.0 else 1.1 }
            val rate = exp(random.nextDouble(-0.2, 0.2)) / slowdown
            val set = neighbours.map { Neighbour(it, false) }.toSet()
            model.observe(sensitive, set, rate, it * 500L)
        }
        val byNoisy = model.estimate(sensitive, Neighbour(noisy, false))
        val byOrdinary = model.estimate(sensitive, Neighbour(ordinary, false))
        expectThat(exp(byNoisy.mean)).isGreaterThan(2.7).isLessThan(3.3)
        expectThat(exp(byOrdinary.mean)).isGreaterThan(1.0).isLessThan(1.25)
        expectThat(byNoisy.lowerBoundAt(100_000)).isGreaterThan(ln(2.5))
    }

    @Test
    fun `takes no action on weak evidence`() {
        val model = InterferenceModel()
        val control = InterferenceControl(model)
        val tasks = listOf(task("a", sensitive), task("b", noisy))
        model.observe(sensitive, setOf(Neighbour(noisy, false)), 0.5, 0)
        expectThat(control.decide(tasks, 0)).isEqualTo(emptyList())
        repeat(20) { model.observe(sensitive, setOf(Neighbour(noisy, false)), 0.5, it * 500L) }
        expectThat(control.decide(tasks, 10_000))
            .isEqualTo(listOf(InterferenceAction.Throttle("b")))
    }

    @Test
    fun `a wave of noisy tasks causes no more evictions than a period allows`() {
        val model = InterferenceModel()
        val control = InterferenceControl(model)
        repeat(50) { model.observe(sensitive, setOf(Neighbour(noisy, true)), 0.4, it * 100L) }
        val evictions = (0 until 100).sumOf { worker ->
            val tasks = listOf(task("a$worker", sensitive), task("b$worker", noisy, true))
            control.decide(tasks, 6_000).count { it is InterferenceAction.Evict }
        }
        expectThat(evictions).isEqualTo(InterferenceControl.MAX_EVICTIONS_PER_PERIOD)
    }

    private fun task(id: String, job: JobKey, isThrottled: Boolean = false) =
        PlacedTask(id, job, isThrottled, canBeThrottled = job == noisy, canBeEvicted = true)
}
