/** Learning run times against wrong declarations. */
package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan

class RunTimeEstimatorTest {
    private val key = RunTimeKey("inspectors", "photos")
    private val estimator = RunTimeEstimator(maxKeys = 2)

    @Test
    fun `starts from what was declared`() {
        expectThat(estimator.estimate(key, 50.0).medianMillis).isIn(49.9..50.1)
    }

    @Test
    fun `a few runs overcome a declaration that is far off`() {
        repeat(5) { estimator.ran(key, 10.0, declaredMillis = 60_000.0) }
        expectThat(estimator.estimate(key, 60_000.0).medianMillis).isLessThan(25.0)
    }

    @Test
    fun `one outlier moves a settled estimate little`() {
        repeat(100) { estimator.ran(key, 10.0) }
        estimator.ran(key, 60_000.0)
        expectThat(estimator.estimate(key, 10.0).medianMillis).isLessThan(20.0)
    }

    @Test
    fun `a request that was given up on raises the estimate but never lowers it`() {
        repeat(10) { estimator.ran(key, 1_000.0) }
        val before = estimator.estimate(key, 1_000.0).medianMillis
        estimator.ranAtLeast(key, 100.0)
        expectThat(estimator.estimate(key, 1_000.0).medianMillis).isEqualTo(before)
        estimator.ranAtLeast(key, 10_000.0)
        expectThat(estimator.estimate(key, 1_000.0).medianMillis).isGreaterThan(before)
    }

    @Test
    fun `nine of ten runs lie below the high estimate`() {
        val random = kotlin.random.Random(7)
        repeat(2_000) { estimator.ran(key, 5 + 10 * random.nextDouble()) }
        val high = estimator.estimate(key, 1.0).highMillis
        expectThat(high).isIn(12.0..17.0)
    }

    @Test
    fun `forgets the keys that were not used for longest`() {
        estimator.ran(key, 10.0)
        estimator.ran(RunTimeKey("a", "a"), 10.0)
        estimator.ran(RunTimeKey("b", "b"), 10.0)
        expectThat(estimator.estimate(key, 99.0).medianMillis).isIn(98.9..99.1)
    }
}
