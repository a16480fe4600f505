/** Tests the retry budget and the retry delays. */
package sycamoremast.coordination.request

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

class RetryBudgetTest {
    @ParameterizedTest
    @ValueSource(ints = [0, 10, 50])
    fun `allows retries for the given share of requests after the initial burst`(percent: Int) {
        val budget = RetryBudget(burst = 20.0)
        while (budget.tryWithdraw()) Unit
        val retries = (1..10_000).count {
            budget.deposit(percent)
            budget.tryWithdraw()
        }
        expectThat(retries).isLessThanOrEqualTo(100 * percent)
        expectThat(retries).isGreaterThan(100 * percent - 2)
    }

    @Test
    fun `accumulates no more tokens than the burst`() {
        val budget = RetryBudget(burst = 20.0)
        repeat(10_000) { budget.deposit(100) }
        expectThat((1..100).count { budget.tryWithdraw() }).isEqualTo(20)
    }

    @Test
    fun `draws delays at random below a bound that doubles with each attempt`() {
        val random = Random(3)
        val delays = List(1_000) { retryDelay(attempts = 3, random).inWholeMilliseconds }
        expectThat(delays).all { isIn(1L..40L) }
        expectThat(delays.toSet().size).isGreaterThan(30)
    }
}
