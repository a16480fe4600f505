package sycamoremast.coordination.store

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isTrue
import sycamoremast.coordination.ManualTime

class CallBudgetTest {
    @Test
    fun `calls beyond the burst wait for the rate`() {
        val time = ManualTime()
        val budget = CallBudget(ratePerSecond = 10.0, burst = 5, clock = time)
        repeat(25) { expectThat(budget.take(10_000, time)).isTrue() }
        expectThat(time.nowMillis()).isIn(2_000L..2_100L)
        expectThat(budget.taken).isEqualTo(25)
        expectThat(budget.take(50, time)).isFalse()
    }

    @Test
    fun `delays double up to their bound and stay in the upper half`() {
        val backoff = Backoff(10.milliseconds, 100.milliseconds)
        val random = Random(7)
        val bounds = listOf(10L, 20L, 40L, 80L, 100L, 100L)
        for ((index, bound) in bounds.withIndex()) {
            repeat(50) {
                expectThat(backoff.delayMillis(index + 1, random)).isIn(bound / 2..bound)
            }
        }
        expectThat(backoff.delayMillis(Int.MAX_VALUE, random)).isIn(50L..100L)
    }
}
