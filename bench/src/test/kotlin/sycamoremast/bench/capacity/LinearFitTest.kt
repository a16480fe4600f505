package sycamoremast.bench.capacity

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class LinearFitTest {
    @Test
    fun `through returns the line of collinear points`() {
        val line = LinearFit.through(listOf(1.0, 2.0, 3.0), listOf(5.0, 7.0, 9.0))
        expectThat(line).isEqualTo(LinearFit(2.0, 3.0, 1.0))
    }

    @Test
    fun `rSquared is lower for points off the line`() {
        val line = LinearFit.through(listOf(1.0, 2.0, 3.0), listOf(5.0, 9.0, 6.0))
        expectThat(line.rSquared).isLessThan(0.5)
    }

    @Test
    fun `through rejects fewer than three points`() {
        assertThrows<IllegalArgumentException> {
            LinearFit.through(listOf(1.0, 2.0), listOf(1.0, 2.0))
        }
    }
}
