/** The budget of retries and their delays. */
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
    fun `allows no more than the share of the requests, after the first burst`(percent: Int) {
        val budget = RetryBudget(burst = 20.0)
        while (budget.tryTake()) Unit
        val retries = (1..10_000).count {
            budget.requestArrived(percent)
            budget.tryTake()
        }
        expectThat(retries).isLessThanOrEqualTo(100 * percent)
        expectThat(retries).isGreaterThan(100 * percent - 2)
    }

    @Test
    fun `saves up no more than a burst`() {
        val budget = RetryBudget(burst = 20.0)
        repeat(10_000) { budget.requestArrived(100) }
        expectThat((1..100).count { budget.tryTake() }).isEqualTo(20)
    }

    @Test
    fun `delays are spread below a bound that doubles`() {
        val random = Random(3)
        val delays = List(1_000) { retryDelay(attempts = 3, random).inWholeMilliseconds }
        expectThat(delays).all { isIn(1L..40L) }
        expectThat(delays.toSet().size).isGreaterThan(30)
    }
}
