package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class TailModelTest {
    private val model = TailModel()

    @Test
    fun `distinguishes a heavy neighbour from a light one on the same worker`() {
        val both = mapOf("heavy" to 0.1, "light" to 0.1)
        repeat(60) {
            model.observe("serving", mapOf("light" to 0.1), 0.05)
            model.observe("serving", both, 1.05)
        }
        expectThat(model.effect("serving", "heavy")).isGreaterThan(6.0)
        expectThat(model.effect("serving", "light")).isLessThan(2.0)
    }

    @Test
    fun `learns no effect on one image from readings of another`() {
        val before = model.effect("other", "heavy")
        repeat(20) { model.observe("serving", mapOf("heavy" to 0.1), 1.0) }
        expectThat(model.effect("other", "heavy")).isEqualTo(before)
    }

    @Test
    fun `returns no cost without neighbours`() {
        model.observe("serving", emptyMap(), 3.0)
        expectThat(model.cost("serving", emptyMap())).isEqualTo(0.0)
    }
}
