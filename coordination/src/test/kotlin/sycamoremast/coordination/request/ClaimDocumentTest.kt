/** Tests claims on idempotency keys. */
package sycamoremast.coordination.request

import arrow.core.getOrElse
import arrow.core.left
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class ClaimDocumentTest {
    private val answer = StoredResponse(200, listOf("A" to "b"), "x".repeat(100))

    @Test
    fun `rejects a second claim on a key`() {
        val document = ClaimDocument().withClaim(claim("1", "k"))
        expectThat(document.claim(claim("2", "k"), MAX_BYTES))
            .isEqualTo(ClaimRefusal.Taken(claim("1", "k")).left())
    }

    @Test
    fun `adding a claim twice has no further effect`() {
        val document = ClaimDocument().withClaim(claim("1", "k"))
        expectThat(document.withClaim(claim("1", "k"))).isEqualTo(document)
    }

    @Test
    fun `allows a new claim on a released key`() {
        val document = ClaimDocument().withClaim(claim("1", "k")).release("1")
        expectThat(document.withClaim(claim("2", "k")).claims).hasSize(1)
    }

    @Test
    fun `a result is the same after serialization and parsing`() {
        val document = ClaimDocument().withClaim(claim("1", "k"))
            .record("1", ClaimState.ANSWERED, answer, MAX_BYTES)
        val parsed = ClaimDocument.parse(document.toJson())
        expectThat(parsed).isEqualTo(document)
        expectThat(parsed.claims.single().answer).isEqualTo(answer)
    }

    @Test
    fun `drops claims after the retention period`() {
        val document = ClaimDocument().withClaim(claim("1", "k"))
            .withClaim(claim("2", "l", atMillis = ClaimDocument.RETENTION_MILLIS + 1))
        expectThat(document.claims.map { it.key }).isEqualTo(listOf("l"))
    }

    @Test
    fun `drops the bodies of the oldest responses but no keys if space runs out`() {
        val document = (1..50).fold(ClaimDocument()) { document, number ->
            document.withClaim(claim("$number", "k$number"))
                .record("$number", ClaimState.ANSWERED, answer, MAX_BYTES)
        }
        expectThat(document.claims).hasSize(50)
        expectThat(document.toJson().length).isLessThanOrEqualTo(MAX_BYTES)
        expectThat(document.claims.first().answer).isNotNull().get { body }.isNull()
        expectThat(document.claims.last().answer).isNotNull().get { body }.isNotNull()
    }

    @Test
    fun `a full document rejects new keys and drops none`() {
        var document = ClaimDocument()
        val refusal = (1..1_000).firstNotNullOf { number ->
            document.claim(claim("$number", "k$number"), MAX_BYTES)
                .fold({ it }, { next -> null.also { document = next } })
        }
        expectThat(refusal).isEqualTo(ClaimRefusal.Full)
        expectThat(document.claims.first().key).isEqualTo("k1")
    }

    @Test
    fun `parses an absent document as one without claims`() {
        expectThat(ClaimDocument.parse(null).claims).isEmpty()
    }

    private fun ClaimDocument.withClaim(claim: Claim) =
        claim(claim, MAX_BYTES).getOrElse { error("$it") }

    private fun claim(id: String, key: String, atMillis: Long = 0) =
        Claim(id, key, "print", "entry-1", 1, atMillis)

    private companion object {
        const val MAX_BYTES = 10_000
    }
}
