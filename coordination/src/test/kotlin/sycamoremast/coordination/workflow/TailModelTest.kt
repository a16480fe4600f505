package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

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

    private fun modelWithHeavyPair() = TailModel().apply {
        repeat(20) { observe("serving", mapOf("heavy" to 0.1), 1.0) }
    }

    @Test
    fun `restores the effects that an earlier owner recorded`() {
        val earlier = modelWithHeavyPair()
        val model = TailModel()
        expectThat(model.restore(earlier.record(1_000), 1_000)).isEqualTo(1)
        expectThat(model.effect("serving", "heavy")).isEqualTo(earlier.effect("serving", "heavy"))
        expectThat(model.isUncertain(ImagePair("serving", "heavy"))).isFalse()
    }

    @Test
    fun `is uncertain again of effects that were recorded long ago`() {
        val model = TailModel()
        model.restore(modelWithHeavyPair().record(0), 3_600_000)
        expectThat(model.isUncertain(ImagePair("serving", "heavy"))).isTrue()
    }

    @Test
    fun `leaves out recorded effects that are no valid numbers`() {
        val effects = listOf(
            PairEffect("serving", "a", Double.NaN, 1.0),
            PairEffect("serving", "b", -1.0, 1.0),
            PairEffect("serving", "c", 1.0, -1.0)
        )
        expectThat(TailModel().restore(InterferenceRecord(effects, 0), 0)).isEqualTo(0)
    }

    @Test
    fun `knows the share of neighbours that slow no serving task notably`() {
        val model = modelWithHeavyPair()
        repeat(20) { model.observe("serving", mapOf("light" to 0.1), 0.05) }
        expectThat(model.tolerance(setOf("serving"))).isEqualTo(0.5)
    }
}
