/** A wave of noisy tasks beside sensitive ones, under three ways of control, in virtual time. */
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
    private enum class Way { NO_CONTROL, STATIC_LIMIT, LEARNED }

    private class Outcome(val slowdown: Double, val noisyWork: Double, val evictions: Int)

    private class Noisy(val id: String, var worker: Int?, var isThrottled: Boolean = false)

    @Test
    fun `learned control protects sensitive work and keeps more noisy work than a static limit`() {
        val outcomes = Way.entries.associateWith { run(it) }
        for ((way, outcome) in outcomes) {
            println(
                "noisy-wave way=$way slowdown=${"%.2f".format(outcome.slowdown)} " +
                    "noisyWork=${outcome.noisyWork.toInt()} evictions=${outcome.evictions}"
            )
        }
        val learned = outcomes.getValue(Way.LEARNED)
        expectThat(learned.slowdown).isLessThan(outcomes.getValue(Way.NO_CONTROL).slowdown)
        expectThat(learned.noisyWork).isGreaterThan(outcomes.getValue(Way.STATIC_LIMIT).noisyWork)
        expectThat(learned.evictions).isLessThanOrEqualTo(MOST_EVICTIONS)
    }

    /** Workers 0 to 9 run a sensitive task each and 10 to 14 none; a wave adds twenty noisy ones. */
    private fun run(way: Way): Outcome {
        val wave = Wave(way)
        repeat(STEPS) { step -> wave.advance(step * STEP_MILLIS) }
        val seconds = STEP_MILLIS / 1_000.0
        return Outcome(wave.slowdown / SENSITIVE / STEPS, wave.noisyWork * seconds, wave.evictions)
    }

    private inner class Wave(private val way: Way) {
        private val random = Random(7)
        private val model = InterferenceModel()
        private val control = InterferenceControl(model)
        private val noisy = (0 until NOISY).map { Noisy("n$it", place(it, way)) }
        var slowdown = 0.0
        var noisyWork = 0.0
        var evictions = 0

        fun advance(now: Long) {
            (0 until SENSITIVE).forEach { advance(it, now) }
            val placed = noisy.filter { it.worker != null }
            noisyWork += placed.sumOf { if (it.isThrottled) 0.5 else 1.0 }
        }

        private fun advance(worker: Int, now: Long) {
            val beside = noisy.filter { it.worker == worker }
            val factor = beside.fold(1.0) { f, task -> f * if (task.isThrottled) 1.3 else 3.0 }
            slowdown += factor
            val rate = exp(random.nextDouble(-0.3, 0.3)) / factor
            if (way != Way.LEARNED) return
            val neighbours = beside.map { Neighbour(NOISY_JOB, it.isThrottled) }.toSet()
            model.observe(SENSITIVE_JOB, neighbours, rate, now)
            val tasks = beside.map { PlacedTask(it.id, NOISY_JOB, it.isThrottled, true, true) } +
                PlacedTask("s$worker", SENSITIVE_JOB, false, false, false)
            control.decide(tasks, now).forEach(::carryOut)
        }

        private fun carryOut(action: InterferenceAction) {
            val task = noisy.first { it.id == action.id }
            task.isThrottled = action is InterferenceAction.Throttle
            if (action !is InterferenceAction.Evict) return
            evictions++
            task.worker = SENSITIVE + evictions % FREE
        }
    }

    /** A static limit keeps noisy tasks off workers with sensitive ones, two to each other worker. */
    private fun place(index: Int, way: Way): Int? = when {
        index < FREE * 2 -> SENSITIVE + index % FREE
        way == Way.STATIC_LIMIT -> null
        else -> index - FREE * 2
    }

    private companion object {
        val SENSITIVE_JOB = JobKey("nets", "photos")
        val NOISY_JOB = JobKey("fish", "recount")
        const val SENSITIVE = 10
        const val FREE = 5
        const val NOISY = 20
        const val STEPS = 240
        const val STEP_MILLIS = 500L

        /** Four in each 30 s of the two minutes. */
        const val MOST_EVICTIONS = 16
    }
}
