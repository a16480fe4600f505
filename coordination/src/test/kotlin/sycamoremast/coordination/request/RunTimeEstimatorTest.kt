/** Tests run time estimates, also from wrong declarations. */
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
    fun `starts from the declared run time`() {
        expectThat(estimator.estimate(key, 50.0).medianMillis).isIn(49.9..50.1)
    }

    @Test
    fun `a few runs outweigh a declaration that is far off`() {
        repeat(5) { estimator.recordRun(key, 10.0, declaredMillis = 60_000.0) }
        expectThat(estimator.estimate(key, 60_000.0).medianMillis).isLessThan(25.0)
    }

    @Test
    fun `a single outlier changes a settled estimate little`() {
        repeat(100) { estimator.recordRun(key, 10.0) }
        estimator.recordRun(key, 60_000.0)
        expectThat(estimator.estimate(key, 10.0).medianMillis).isLessThan(20.0)
    }

    @Test
    fun `a lower bound raises an estimate but never lowers it`() {
        repeat(10) { estimator.recordRun(key, 1_000.0) }
        val before = estimator.estimate(key, 1_000.0).medianMillis
        estimator.recordLowerBound(key, 100.0)
        expectThat(estimator.estimate(key, 1_000.0).medianMillis).isEqualTo(before)
        estimator.recordLowerBound(key, 10_000.0)
        expectThat(estimator.estimate(key, 1_000.0).medianMillis).isGreaterThan(before)
    }

    @Test
    fun `estimates the 90th percentile`() {
        val random = kotlin.random.Random(7)
        repeat(2_000) { estimator.recordRun(key, 5 + 10 * random.nextDouble()) }
        val p90 = estimator.estimate(key, 1.0).p90Millis
        expectThat(p90).isIn(12.0..17.0)
    }

    @Test
    fun `evicts the least recently used key`() {
        estimator.recordRun(key, 10.0)
        estimator.recordRun(RunTimeKey("a", "a"), 10.0)
        estimator.recordRun(RunTimeKey("b", "b"), 10.0)
        expectThat(estimator.estimate(key, 99.0).medianMillis).isIn(98.9..99.1)
    }
}
