/** Simulates a wave of noisy tasks next to sensitive ones, under three control modes. */
package sycamoremast.coordination.interference

import kotlin.math.exp
import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import sycamoremast.coordination.record.JobKey

class NoisyWaveTest {
    private enum class ControlMode { NO_CONTROL, STATIC_LIMIT, LEARNED }

    private class Metrics(val slowdown: Double, val noisyWork: Double, val evictions: Int)

    private class Noisy(val id: String, var worker: Int?, var isThrottled: Boolean = false)

    @Test
    fun `learned control protects sensitive tasks and runs more noisy work than a static limit`() {
        val metricsByMode = ControlMode.entries.associateWith { run(it) }
        for ((mode, metrics) in metricsByMode) {
            println(
                "noisy-wave way=$mode slowdown=${"%.2f".format(metrics.slowdown)} " +
                    "noisyWork=${metrics.noisyWork.toInt()} evictions=${metrics.evictions}"
            )
        }
        val learned = metricsByMode.getValue(ControlMode.LEARNED)
        expectThat(learned.slowdown)
            .isLessThan(metricsByMode.getValue(ControlMode.NO_CONTROL).slowdown)
        expectThat(learned.noisyWork)
            .isGreaterThan(metricsByMode.getValue(ControlMode.STATIC_LIMIT).noisyWork)
        expectThat(learned.evictions).isLessThanOrEqualTo(MAX_EVICTIONS)
    }

    /**
     * Runs 20 noisy tasks on 15 workers under [mode].
     *
     * Workers 0 to 9 run one sensitive task each, and workers 10 to 14 none.
     */
    private fun run(mode: ControlMode): Metrics {
        val wave = Wave(mode)
        repeat(STEPS) { step -> wave.advance(step * STEP_MILLIS) }
        val seconds = STEP_MILLIS / 1_000.0
        return Metrics(
            wave.slowdown / SENSITIVE_WORKERS / STEPS,
            wave.noisyWork * seconds,
            wave.evictions
        )
    }

    private inner class Wave(private val mode: ControlMode) {
        private val random = Random(7)
        private val model = InterferenceModel()
        private val control = InterferenceControl(model)
        private val noisy = (0 until NOISY_TASKS).map { Noisy("n$it", place(it, mode)) }
        var slowdown = 0.0
        var noisyWork = 0.0
        var evictions = 0

        fun advance(now: Long) {
            (0 until SENSITIVE_WORKERS).forEach { advance(it, now) }
            val placed = noisy.filter { it.worker != null }
            noisyWork += placed.sumOf { if (it.isThrottled) 0.5 else 1.0 }
        }

        private fun advance(worker: Int, now: Long) {
            val colocated = noisy.filter { it.worker == worker }
            val factor = colocated.fold(1.0) { f, task -> f * if (task.isThrottled) 1.3 else 3.0 }
            slowdown += factor
            val rate = exp(random.nextDouble(-0.3, 0.3)) / factor
            if (mode != ControlMode.LEARNED) return
            val neighbours = colocated.map { Neighbour(NOISY_JOB, it.isThrottled) }.toSet()
            model.observe(SENSITIVE_JOB, neighbours, rate, now)
            val tasks = colocated.map { PlacedTask(it.id, NOISY_JOB, it.isThrottled, true, true) } +
                PlacedTask("s$worker", SENSITIVE_JOB, false, false, false)
            control.decide(tasks, now).forEach(::applyAction)
        }

        private fun applyAction(action: InterferenceAction) {
            val task = noisy.first { it.id == action.id }
            task.isThrottled = action is InterferenceAction.Throttle
            if (action !is InterferenceAction.Evict) return
            evictions++
            task.worker = SENSITIVE_WORKERS + evictions % UNSHARED_WORKERS
        }
    }

    /**
     * Returns the worker of the noisy task [index], or null if it does not run.
     *
     * The workers without sensitive tasks get 2 noisy tasks each. The others get the remaining
     * noisy tasks, one each, unless a static limit keeps these off.
     */
    private fun place(index: Int, mode: ControlMode): Int? = when {
        index < UNSHARED_WORKERS * 2 -> SENSITIVE_WORKERS + index % UNSHARED_WORKERS
        mode == ControlMode.STATIC_LIMIT -> null
        else -> index - UNSHARED_WORKERS * 2
    }

    private companion object {
        val SENSITIVE_JOB = JobKey("nets", "photos")
        val NOISY_JOB = JobKey("fish", "recount")
        const val SENSITIVE_WORKERS = 10
        const val UNSHARED_WORKERS = 5
        const val NOISY_TASKS = 20
        const val STEPS = 240
        const val STEP_MILLIS = 500L

        /** 4 evictions in each 30 s period of the 2 min simulated. */
        const val MAX_EVICTIONS = 16
    }
}
