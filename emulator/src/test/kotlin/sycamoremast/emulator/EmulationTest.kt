package sycamoremast.emulator

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Bounds come from the users' rules: no tail over its target for 4 s, work in time. */
class EmulationTest {
    private fun outcomes(pattern: Pattern) = (1..3).map { Emulation(pattern, it).run() }

    private fun share(outcomes: List<Outcome>, queue: String): Double {
        val all = outcomes.map { it.queues.getValue(queue) }
        return all.sumOf { it.inTime }.toDouble() / all.sumOf { it.asked }
    }

    @Test
    fun `shared-calm, reviews are in time and serving tasks under their target`() {
        val outcomes = outcomes(Pattern.sharedCalm)
        expectThat(share(outcomes, "cert-review")).isGreaterThan(0.9)
        expectThat(outcomes.minOf { it.servingShare }).isGreaterThan(0.9)
        expectThat(outcomes.maxOf { it.longestOverMillis }).isLessThan(4_000)
    }

    @Test
    fun `shared-surge, a surge of reviews doesn't push serving tasks over their target`() {
        val outcomes = outcomes(Pattern.sharedSurge)
        expectThat(share(outcomes, "cert-review")).isGreaterThan(0.9)
        expectThat(outcomes.maxOf { it.longestOverMillis }).isLessThan(4_000)
    }

    @Test
    fun `shared-heavy, reviews go where no neighbour is pushed over its target`() {
        val outcomes = outcomes(Pattern.sharedHeavy)
        expectThat(share(outcomes, "cert-review")).isGreaterThan(0.9)
        expectThat(outcomes.minOf { it.servingShare }).isGreaterThan(0.9)
        expectThat(outcomes.maxOf { it.longestOverMillis }).isLessThan(4_000)
    }

    @Test
    fun `shared-heavy, under a twentieth of all runs is stopped for the sake of neighbours`() {
        val outcomes = outcomes(Pattern.sharedHeavy)
        expectThat(outcomes.maxOf { it.stops.toDouble() / it.starts }).isLessThan(0.05)
    }

    @Test
    fun `large-fleet, short work is in time and placement looks at a bounded part of the fleet`() {
        val fleet = Emulation(Pattern.largeFleet, 1).run()
        expectThat(share(listOf(fleet), "cert-review")).isGreaterThan(0.9)
        expectThat(share(listOf(fleet), "field-check")).isGreaterThan(0.9)
        expectThat(fleet.examinedWorkers / fleet.starts).isLessThan(fleet.workers / 2L)
    }

    @Test
    fun `serving-crowd, short tallies find room beside more serving tasks than fit`() {
        val outcomes = outcomes(Pattern.servingCrowd)
        expectThat(share(outcomes, "daily-tally")).isGreaterThan(0.8)
        expectThat(outcomes.minOf { it.servingShare }).isGreaterThan(0.9)
    }

    @Test
    fun `slow-workers, most work is still in time`() {
        expectThat(share(outcomes(Pattern.slowWorkers), "cert-review")).isGreaterThan(0.8)
    }

    @Test
    fun `the same seed gives the same outcome`() {
        expectThat(Emulation(Pattern.sharedCalm, 7).run())
            .isEqualTo(Emulation(Pattern.sharedCalm, 7).run())
    }
}
