package sycamoremast.coordination.workflow

import kotlin.math.PI
import kotlin.math.abs
import kotlin.math.sin
import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.Resources

class HeadroomForecastTest {
    private val forecast = HeadroomForecast()
    private val random = Random(5)
    private val steps = List(STEPS) { step("job$it") }

    private fun step(id: String): OpenStep {
        val spec = WorkflowStep(1, Resources(1_000, 1_000), isLongRunning = true)
        val queue = QueuePolicy("queue", "service")
        val workflow = Workflow(id, queue, "", listOf(spec), submittedMillis = 0)
        return OpenWorkflow(workflow, isRecovered = false, acceptedMillis = 0).run {
            addOccurrence()
            steps().single()
        }
    }

    /** The headroom of step number [number], each of which swings in a phase of its own. */
    private fun headroom(number: Int, atMillis: Long, periodMillis: Double) =
        3 + 1.4 * sin(2 * PI * (atMillis / periodMillis + number / STEPS.toDouble()))

    private fun readUntil(endMillis: Long, periodMillis: Double) {
        for (t in 0L..endMillis step 300) {
            steps.forEachIndexed { i, step ->
                val noise = random.nextDouble(-NOISE, NOISE)
                forecast.onReading(step, headroom(i, t, periodMillis) + noise, 1.0, t)
            }
        }
    }

    private fun expectForecast(periodMillis: Double) {
        val end = 40_000L
        readUntil(end, periodMillis)
        steps.forEachIndexed { i, step ->
            val lowest = (end..end + RUN_MILLIS step 100).minOf { headroom(i, it, periodMillis) }
            expectThat(forecast.lowestOrNull(step, end, RUN_MILLIS)).isNotNull()
                .get { abs(this - lowest) }.isLessThan(0.4)
        }
    }

    @Test
    fun `forecasts the lowest headroom of a run beside a load that swings in 8 seconds`() =
        expectForecast(8_000.0)

    @Test
    fun `forecasts the lowest headroom of a run beside a load that swings in 20 seconds`() =
        expectForecast(20_000.0)

    @Test
    fun `forecasts the lowest headroom of a run beside a load that swings in a minute`() =
        expectForecast(60_000.0)

    @Test
    fun `forecasts nothing before its forecasts have been checked`() {
        readUntil(1_500, 20_000.0)
        expectThat(forecast.lowestOrNull(steps.first(), 1_500, RUN_MILLIS)).isNull()
        expectThat(forecast.standardErrorOrNull("queue")).isNull()
    }

    @Test
    fun `reports the error of its forecasts`() {
        readUntil(40_000, 20_000.0)
        expectThat(forecast.standardErrorOrNull("queue")).isNotNull().isLessThan(0.5)
    }

    private companion object {
        const val STEPS = 12
        const val NOISE = 0.2
        const val RUN_MILLIS = 2_300L
    }
}
