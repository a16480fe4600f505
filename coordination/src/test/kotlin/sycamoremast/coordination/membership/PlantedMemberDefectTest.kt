/** Checks a [MemberTable] against seeded random sequences of the events of one host. */
package sycamoremast.coordination.membership

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.membership.PlantedMemberDefect.FORMER_FAREWELL_TAKEN_AS_NEWEST
import sycamoremast.coordination.membership.PlantedMemberDefect.FORMER_PROCESS_TAKEN_AS_NEWEST
import sycamoremast.coordination.membership.PlantedMemberDefect.SILENCE_IGNORED
import sycamoremast.coordination.membership.PlantedMemberDefect.UNANSWERED_LISTING_TAKEN_AS_EMPTY

class PlantedMemberDefectTest {
    @Test
    fun `a registered host is never gone and a silent host is never live`() {
        expectThat((1..SEEDS).firstNotNullOfOrNull { Trial(it, null).firstViolation() }).isNull()
    }

    @ParameterizedTest
    @EnumSource
    internal fun `a planted defect is detected`(defect: PlantedMemberDefect) {
        val violation = (1..SEEDS).firstNotNullOfOrNull { Trial(it, defect).firstViolation() }
        println("planted=$defect caught=$violation")
        expectThat(violation).isNotNull()
    }

    private class Trial(private val seed: Int, private val defect: PlantedMemberDefect?) {
        private val random = Random(seed)
        private val timeouts = MemberTimeouts()
        private val table = MemberTable("self", timeouts)
        private var newest = HostProcess("b1", "b", "127.0.0.1:7", 100)
        private var lastSentMillis = 0L

        fun firstViolation(): String? {
            table.recordMessage(newest, 0)
            table.recordListing(listOf(newest), 0)
            return (1..STEPS).firstNotNullOfOrNull { step(it * STEP_MILLIS) }
        }

        private fun step(now: Long): String? {
            when (random.nextInt(30)) {
                0 -> newest = newest.copy(incarnation = newest.incarnation + 1)
                1 -> lateDepartureOfFormer(now)
                2, 3 -> lateMessageOfFormer(now)
                in 4..9 -> sendHeartbeat(now)
                in 10..13 -> listRegistrations(now)
            }
            if (defect != SILENCE_IGNORED) table.tick(now)
            return violation(now)
        }

        private fun sendHeartbeat(now: Long) {
            table.recordMessage(newest, now)
            table.recordListing(listOf(newest), now)
            lastSentMillis = now
        }

        private fun listRegistrations(now: Long) {
            if (defect == UNANSWERED_LISTING_TAKEN_AS_EMPTY) table.recordListing(emptyList(), now)
        }

        private fun lateMessageOfFormer(now: Long) {
            table.recordMessage(former(defect == FORMER_PROCESS_TAKEN_AS_NEWEST), now)
        }

        private fun lateDepartureOfFormer(now: Long) {
            val process = former(defect == FORMER_FAREWELL_TAKEN_AS_NEWEST)
            table.recordDeparture(process.host, process.incarnation, now)
        }

        private fun former(isTakenAsNewest: Boolean): HostProcess {
            val known = table.members().single().process
            return if (isTakenAsNewest) known else known.copy(incarnation = known.incarnation - 1)
        }

        private fun violation(now: Long): String? {
            val state = table.members().singleOrNull()?.state
            val isSilent = now - lastSentMillis >= timeouts.suspectAfter.inWholeMilliseconds
            val isViolation = state == null ||
                state == MemberState.GONE ||
                (isSilent && state == MemberState.LIVE)
            return "seed $seed: $state at $now, last sent at $lastSentMillis".takeIf { isViolation }
        }
    }

    private companion object {
        const val SEEDS = 100
        const val STEPS = 400
        const val STEP_MILLIS = 500L
    }
}
