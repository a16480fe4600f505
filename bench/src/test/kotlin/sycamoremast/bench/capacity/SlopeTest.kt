package sycamoremast.bench.capacity

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class SlopeTest {
    @Test
    fun `points on a line give that line`() {
        val slope = Slope.through(listOf(1.0, 2.0, 3.0), listOf(5.0, 7.0, 9.0))
        expectThat(slope).isEqualTo(Slope(2.0, 3.0, 1.0))
    }

    @Test
    fun `points off the line lower the fit`() {
        val slope = Slope.through(listOf(1.0, 2.0, 3.0), listOf(5.0, 9.0, 6.0))
        expectThat(slope.fit).isLessThan(0.5)
    }

    @Test
    fun `two points are too few`() {
        assertThrows<IllegalArgumentException> {
            Slope.through(listOf(1.0, 2.0), listOf(1.0, 2.0))
        }
    }
}
