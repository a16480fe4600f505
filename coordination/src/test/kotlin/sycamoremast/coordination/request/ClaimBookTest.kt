/** Claims on idempotency keys. */
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

class ClaimBookTest {
    private val answer = KeptAnswer(200, listOf("A" to "b"), "x".repeat(100))

    @Test
    fun `a key is claimed once`() {
        val book = ClaimBook().add(claim("1", "k"))
        expectThat(book.claim(claim("2", "k"), MAX_BYTES))
            .isEqualTo(ClaimRefusal.Taken(claim("1", "k")).left())
    }

    @Test
    fun `the same claim applied twice changes nothing`() {
        val book = ClaimBook().add(claim("1", "k"))
        expectThat(book.add(claim("1", "k"))).isEqualTo(book)
    }

    @Test
    fun `a released key can be claimed again`() {
        val book = ClaimBook().add(claim("1", "k")).release("1")
        expectThat(book.add(claim("2", "k")).claims).hasSize(1)
    }

    @Test
    fun `a result survives printing and parsing`() {
        val book = ClaimBook().add(claim("1", "k"))
            .record("1", ClaimState.ANSWERED, answer, MAX_BYTES)
        val read = ClaimBook.parse(book.print())
        expectThat(read).isEqualTo(book)
        expectThat(read.claims.single().answer).isEqualTo(answer)
    }

    @Test
    fun `keys are forgotten after a day`() {
        val book = ClaimBook().add(claim("1", "k"))
            .add(claim("2", "l", atMillis = ClaimBook.RETENTION_MILLIS + 1))
        expectThat(book.claims.map { it.key }).isEqualTo(listOf("l"))
    }

    @Test
    fun `bodies of the oldest answers are dropped for want of space, keys are not`() {
        val book = (1..50).fold(ClaimBook()) { book, number ->
            book.add(claim("$number", "k$number"))
                .record("$number", ClaimState.ANSWERED, answer, MAX_BYTES)
        }
        expectThat(book.claims).hasSize(50)
        expectThat(book.print().length).isLessThanOrEqualTo(MAX_BYTES)
        expectThat(book.claims.first().answer).isNotNull().get { body }.isNull()
        expectThat(book.claims.last().answer).isNotNull().get { body }.isNotNull()
    }

    @Test
    fun `a full book refuses new keys rather than forget one`() {
        var book = ClaimBook()
        val refusal = (1..1_000).firstNotNullOf { number ->
            book.claim(claim("$number", "k$number"), MAX_BYTES)
                .fold({ it }, { next -> null.also { book = next } })
        }
        expectThat(refusal).isEqualTo(ClaimRefusal.Full)
        expectThat(book.claims.first().key).isEqualTo("k1")
    }

    @Test
    fun `an absent document holds no claims`() {
        expectThat(ClaimBook.parse(null).claims).isEmpty()
    }

    private fun ClaimBook.add(claim: Claim) = claim(claim, MAX_BYTES).getOrElse { error("$it") }

    private fun claim(id: String, key: String, atMillis: Long = 0) =
        Claim(id, key, "print", "entry-1", 1, atMillis)

    private companion object {
        const val MAX_BYTES = 10_000
    }
}
