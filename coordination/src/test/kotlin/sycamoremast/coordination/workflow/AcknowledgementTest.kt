package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

/** Whether workers are told in time that their ends are durable, while all of them answer. */
class AcknowledgementTest {
    private fun expectAcknowledged(faults: Faults) {
        for (seed in 1L..5) {
            val schedule = FaultSchedule(seed, faults)
            schedule.play()
            val ends = schedule.doneEnds
            val missed = ends.count {
                !it.isAcknowledged || it.acknowledgedMillis - it.atMillis > MOST_MILLIS
            }
            expectThat(missed).describedAs("ends not acknowledged in time, seed $seed")
                .isLessThanOrEqualTo(ends.size / MOST_MISSED_DIVISOR)
        }
    }

    // Guards against ends that stay with their workers, and against polls without end.
    @Test
    fun `an owner that takes answers in late still acknowledges ends`() =
        expectAcknowledged(Faults(loopLagMillis = 250))

    // Guards against ends that stay with busy workers while the store is slow.
    @Test
    fun `an owner whose records take long still acknowledges ends`() =
        expectAcknowledged(Faults(leastRecordMillis = 210, mostRecordMillis = 400))

    @Test
    fun `an owner whose records take very long still acknowledges ends`() =
        expectAcknowledged(Faults(leastRecordMillis = 400, mostRecordMillis = 1_000))

    private companion object {
        /** The time in which ends have to be acknowledged, and the share that may miss it: a fifth. */
        const val MOST_MILLIS = 6_000L
        const val MOST_MISSED_DIVISOR = 5
    }
}
