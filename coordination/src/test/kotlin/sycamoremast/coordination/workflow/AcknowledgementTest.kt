package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

/** Checks that ends of runs are acknowledged to workers in time while all workers answer. */
class AcknowledgementTest {
    private fun expectTimelyAcknowledgement(faults: Faults) {
        for (seed in 1L..5) {
            val schedule = FaultSchedule(seed, faults)
            schedule.play()
            val ends = schedule.doneEnds
            val missed = ends.count {
                !it.isAcknowledged ||
                    it.acknowledgedMillis - it.atMillis > MAX_ACKNOWLEDGEMENT_MILLIS
            }
            expectThat(missed).describedAs("ends not acknowledged in time, seed $seed")
                .isLessThanOrEqualTo(ends.size / MAX_MISSED_DIVISOR)
        }
    }

    // Guards against ends that are never acknowledged, and against endless polls.
    @Test
    fun `acknowledges ends in time when the owner processes answers late`() =
        expectTimelyAcknowledgement(Faults(loopLagMillis = 250))

    // Guards against ends that busy workers keep unacknowledged while the store is slow.
    @Test
    fun `acknowledges ends in time when records take up to 400 ms`() =
        expectTimelyAcknowledgement(Faults(minRecordMillis = 210, maxRecordMillis = 400))

    @Test
    fun `acknowledges ends in time when records take up to 1 s`() =
        expectTimelyAcknowledgement(Faults(minRecordMillis = 400, maxRecordMillis = 1_000))

    private companion object {
        /** The time within which ends have to be acknowledged; one fifth of them may exceed it. */
        const val MAX_ACKNOWLEDGEMENT_MILLIS = 6_000L
        const val MAX_MISSED_DIVISOR = 5
    }
}
