package sycamoremast.bench.request

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isSorted

class WorkloadTest {
    private val surge = Rate.surge(100.0, 400.0, 10_000.0, 20_000.0)
    private val photos = Workload("photos", "/photos", 20, surge, 400.0, 1_000)
    private val archive = photos.copy(kind = "archive", rate = Rate.constant(5.0), peakRate = 5.0)

    @Test
    fun `arrivals are ordered by time and equal for equal seeds`() {
        val first = arrivals(listOf(photos, archive), 30_000, Random(7))
        expectThat(first).isEqualTo(arrivals(listOf(photos, archive), 30_000, Random(7)))
        expectThat(first.map { it.atMillis }).isSorted(naturalOrder())
    }

    @Test
    fun `arrivals follow the rate as it varies over time`() {
        val counts = arrivals(listOf(photos), 30_000, Random(7))
            .groupingBy { (it.atMillis / 10_000).toInt() }.eachCount()
        expectThat(counts.getValue(0)).isIn(900..1_100)
        expectThat(counts.getValue(1)).isIn(3_800..4_200)
        expectThat(listOf(0, 1, 2)).all { get { counts.getValue(this) }.isIn(900..4_200) }
    }
}
