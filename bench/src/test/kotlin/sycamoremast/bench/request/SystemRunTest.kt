package sycamoremast.bench.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class SystemRunTest {
    private fun sample(at: Double, latencyMillis: Long, outcome: SampleOutcome) =
        Sample("photos", 100, at, latencyMillis * 1_000, outcome, 0)

    private val run = SystemRun(
        "daemon",
        listOf(
            sample(0.0, 100, SampleOutcome.ANSWERED),
            sample(500.0, 600, SampleOutcome.ANSWERED),
            sample(600.0, 100, SampleOutcome.NOT_RUN),
            sample(700.0, 100, SampleOutcome.LATE)
        ),
        refusedByBackends = 3
    )

    @Test
    fun `goodput counts work answered in time at the time of the response`() {
        expectThat(goodputSeries(run, slots = 1, durationMillis = 2_000).y)
            .isEqualTo(listOf(0.1, 0.1))
        expectThat(goodput(run, slots = 1, fromMillis = 1_000, untilMillis = 2_000)).isEqualTo(0.1)
    }

    @Test
    fun `waitMicros is the latency in excess of the work`() {
        expectThat(run.samples.map { it.waitMicros }).isEqualTo(listOf(0, 500_000, 0, 0))
    }

    @Test
    fun `outcomeTable counts outcomes by system and kind`() {
        expectThat(outcomeTable("t", listOf(run)).rows.single())
            .isEqualTo(listOf("daemon", "photos", "2", "1", "1", "0", "0", "0", "3"))
    }
}
