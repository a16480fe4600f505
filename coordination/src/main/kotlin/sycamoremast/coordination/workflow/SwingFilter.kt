/** Estimates a value that swings around a level with a known period. */
package sycamoremast.coordination.workflow

import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.sin

/**
 * Fits a level and a sine of period [periodMillis] to readings, starting from [level].
 *
 * Recursive least squares with exponential forgetting: readings lose weight over a period.
 */
internal class SwingFilter(private val periodMillis: Double, level: Double) {
    /** The level, and the amplitudes of the sine and the cosine. */
    private val state = doubleArrayOf(level, 0.0, 0.0)
    private val covariance = Array(SIZE) { i ->
        DoubleArray(SIZE) { j ->
            if (i != j) {
                0.0
            } else if (i == 0) {
                LEVEL_VARIANCE
            } else {
                MAX_VARIANCE
            }
        }
    }
    private val basis = DoubleArray(SIZE)
    private val gain = DoubleArray(SIZE)
    private var updatedMillis: Long? = null

    /** Returns the value expected at [atMillis]. */
    fun valueAt(atMillis: Long): Double {
        val angle = angle(atMillis)
        return state[0] + state[1] * sin(angle) + state[2] * cos(angle)
    }

    /** Updates the fit with a reading of [value], whose error has the variance [noiseVariance]. */
    fun update(value: Double, noiseVariance: Double, nowMillis: Long) {
        forget(nowMillis - (updatedMillis ?: nowMillis))
        updatedMillis = nowMillis
        val angle = angle(nowMillis)
        basis[0] = 1.0
        basis[1] = sin(angle)
        basis[2] = cos(angle)
        var spread = noiseVariance
        for (i in 0 until SIZE) {
            gain[i] = (0 until SIZE).sumOf { covariance[i][it] * basis[it] }
            spread += gain[i] * basis[i]
        }
        val error = value - (0 until SIZE).sumOf { state[it] * basis[it] }
        for (i in 0 until SIZE) {
            state[i] += gain[i] / spread * error
            for (j in 0 until SIZE) covariance[i][j] -= gain[i] * gain[j] / spread
        }
    }

    private fun forget(elapsedMillis: Long) {
        val retention = exp(-elapsedMillis / (MEMORY_PERIODS * periodMillis))
        for (row in covariance) {
            for (j in 0 until SIZE) row[j] = minOf(row[j] / retention, MAX_VARIANCE)
        }
    }

    private fun angle(atMillis: Long) =
        2 * PI * (atMillis.mod(periodMillis.toLong())) / periodMillis

    private companion object {
        const val SIZE = 3
        const val LEVEL_VARIANCE = 0.3

        /** Covers amplitudes as large as the level; also bounds what is forgotten. */
        const val MAX_VARIANCE = 1.0
        const val MEMORY_PERIODS = 1
    }
}
