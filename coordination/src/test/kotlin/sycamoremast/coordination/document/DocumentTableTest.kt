package sycamoremast.coordination.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class DocumentTableTest {
    private fun table() = DocumentTable(maxSize = 10_000, parse = ::parse)

    private fun parse(team: String, text: String): Either<String, String> =
        if (text.startsWith("broken")) "$team can't be read".left() else text.right()

    private fun document(team: String, revision: Long, text: String = "r$revision") =
        ConfigurationDocument(team, revision, text, "ilze", 0, revision - 1).print()

    // Proves: in-force | slow | configuration-applied
    @Test
    fun `no order, repetition or restored watch puts a lower revision in force`() {
        expectThat((1..300).firstNotNullOfOrNull { firstReversion(it, null) }).isNull()
    }

    @ParameterizedTest
    @EnumSource(PlantedTableDefect::class)
    internal fun `a planted defect causes a reversion or a gap`(defect: PlantedTableDefect) {
        val broken = (1..300).firstNotNullOfOrNull { firstReversion(it, defect) }
        println("planted=$defect caught=$broken")
        expectThat(broken).isNotNull()
    }

    private fun firstReversion(seed: Int, defect: PlantedTableDefect?): String? {
        val random = Random(seed)
        val teams = listOf("nets", "fish", "reviews")
        val sent = teams.flatMap { team -> (1L..12L).map { document(team, it) } }
        val restored = sent.filter { random.nextInt(4) == 0 }
        val duplicated = sent.filter { random.nextInt(3) == 0 }
        var table = table()
        val applied = mutableMapOf<String, Long>()
        val texts = (sent + duplicated).shuffled(random) + restored.shuffled(random)
        for ((i, text) in texts.withIndex()) {
            if (defect?.resetsTableBefore(i) == true) table = table()
            val offer = if (defect?.drops(text, table) == true) null else table.offer(text)
            if (offer is OfferResult.Accepted) {
                val taken = offer.accepted.document
                val last = applied[taken.team] ?: 0
                if (taken.revision <= last) return "seed $seed: ${taken.revision} after $last"
                applied[taken.team] = taken.revision
            }
        }
        val inForce = table.allInForce().values.map { it.configuration }.toSet()
        val isComplete = table.revisions() == teams.associateWith { 12L } && inForce == setOf("r12")
        return if (isComplete) null else "seed $seed: ${table.revisions()} and $inForce in force"
    }

    @Test
    fun `an unreadable document is held for peers while the previous one stays in force`() {
        val newer = """{"team":"nets","revision":2,"schema":99,"anything":{"else":1}}"""
        val unreadable = listOf(document("nets", 2, "broken"), newer)
        for (text in unreadable) {
            val table = table()
            table.offer(document("nets", 1))
            expectThat(table.offer(text)).isA<OfferResult.Unreadable>()
            expectThat(table.inForce("nets")?.document?.revision).isEqualTo(1)
            expectThat(table.revisions()).isEqualTo(mapOf("nets" to 2L))
            expectThat(table.texts(listOf("nets"))).containsExactly(text)
            expectThat(table.unreadableTeams()).isEqualTo(setOf("nets"))
            expectThat(table.offer(document("nets", 3))).isA<OfferResult.Accepted<String>>()
            expectThat(table.unreadableTeams()).isEqualTo(emptySet())
        }
    }

    @Test
    fun `texts that are not documents are rejected`() {
        val texts = listOf("", "{}", "[]", "null", """{"team":"nets"}""", "x".repeat(10_001))
        for (text in texts) {
            val table = table()
            expectThat(table.offer(text)).describedAs(text.take(20)).isA<OfferResult.Unreadable>()
            expectThat(table.revisions()).isEqualTo(emptyMap())
        }
    }

    @Test
    fun `equal tables have equal digests in any order of arrival`() {
        val random = Random(11)
        val texts = (1..20).map { document("team$it", random.nextLong(1, 100)) }
        val digests = (1..5).map {
            table().apply { texts.shuffled(random).forEach(::offer) }.digest()
        }
        expectThat(digests.toSet().size).isEqualTo(1)
        val other = table().apply { texts.drop(1).forEach(::offer) }
        expectThat(other.digest()).isNotEqualTo(digests.first())
        expectThat(table().inForce("nobody")).isNull()
    }
}
