package sycamoremast.coordination.workflow

import kotlin.math.PI
import kotlin.math.abs
import kotlin.math.sin
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan

class SwingFilterTest {
    private fun swing(atMillis: Long) = 3 + 1.4 * sin(2 * PI * atMillis / PERIOD_MILLIS + 1)

    private fun error(filter: SwingFilter, atMillis: Long) =
        abs(filter.valueAt(atMillis) - swing(atMillis))

    @Test
    fun `predicts a swing half a period ahead from readings of half a period`() {
        val filter = SwingFilter(PERIOD_MILLIS, level = 3.0)
        val end = PERIOD_MILLIS.toLong() / 2
        for (t in 0L..end step 300) filter.update(swing(t), NOISE_VARIANCE, t)
        expectThat(error(filter, end + end)).isLessThan(0.2)
    }

    @Test
    fun `follows a swing whose level changes`() {
        val filter = SwingFilter(PERIOD_MILLIS, level = 1.0)
        for (t in 0L..60_000 step 300) filter.update(swing(t), NOISE_VARIANCE, t)
        expectThat(error(filter, 62_000)).isLessThan(0.1)
    }

    private companion object {
        const val PERIOD_MILLIS = 20_000.0
        const val NOISE_VARIANCE = 0.05
    }
}
