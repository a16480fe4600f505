package sycamoremast.coordination.document

import arrow.core.left
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ConfigurationChangeTest {
    private fun document(revision: Long, text: String = "r$revision", operator: String = "ilze") =
        ConfigurationDocument("nets", revision, text, operator, 5, revision - 1)

    private fun change(from: Long, text: String = "new", operator: String = "ousmane") =
        ConfigurationChange("nets", from, text, operator, 9)

    @Test
    fun `a change based on the current revision becomes the next revision`() {
        val next = change(2).applyTo(document(2), document(2)).getOrNull()
        expectThat(next).isNotNull().and {
            get { revision }.isEqualTo(3)
            get { fromRevision }.isEqualTo(2)
            get { history.map { it.revision } }.isEqualTo(listOf(2L))
        }
        expectThat(change(0).applyTo(null, null).getOrNull()?.revision).isEqualTo(1)
    }

    @Test
    fun `a change based on any other revision is refused with the current document`() {
        val current = document(3)
        for (from in listOf(0L, 2L, 4L)) {
            expectThat(change(from).applyTo(current, null))
                .isEqualTo(ChangeRefusal.LostRace(current).left())
        }
        expectThat(change(1).applyTo(null, null)).isEqualTo(ChangeRefusal.LostRace(null).left())
    }

    @Test
    fun `a repeated submission is reported as already accepted`() {
        val accepted = change(2).applyTo(document(2), document(2)).getOrNull()
        expectThat(change(2).applyTo(accepted, null))
            .isEqualTo(ChangeRefusal.AlreadyAccepted(3).left())
        val other = change(2, operator = "ilze").applyTo(accepted, null)
        expectThat(other).isEqualTo(ChangeRefusal.LostRace(accepted).left())
    }

    @Test
    fun `an equal text creates no new revision`() {
        expectThat(change(2, "r2").applyTo(document(2), null))
            .isEqualTo(ChangeRefusal.Unchanged(2).left())
    }

    // Proves: in-force | none | configuration-written
    @Test
    fun `a revision is not used again after the service was restored from a backup`() {
        val restored = document(5)
        val known = document(8)
        expectThat(change(5).applyTo(restored, known))
            .isEqualTo(ChangeRefusal.LostRace(known).left())
        expectThat(change(8).applyTo(restored, known).getOrNull()?.revision).isEqualTo(9)
        expectThat(change(8, "r8").applyTo(restored, known).getOrNull()?.revision).isEqualTo(9)
    }

    @Test
    fun `the history is bounded`() {
        var current = document(1)
        repeat(100) { number ->
            current = checkNotNull(
                change(current.revision, "t$number").applyTo(current, current).getOrNull()
            )
        }
        expectThat(current.history).hasSize(ConfigurationDocument.HISTORY_LENGTH)
        expectThat(ConfigurationDocument.parse(current.print()).getOrNull()).isEqualTo(current)
    }
}
