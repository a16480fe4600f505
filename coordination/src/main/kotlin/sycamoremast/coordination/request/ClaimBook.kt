/**
 * Claims on idempotency keys, as one document in the key-value service holds them.
 *
 * A key is claimed before its request is sent, and its result is recorded afterwards. A claim without
 * a result is never given to another request: what became of it is unknown once its host is gone.
 * Results are kept for a day; where space runs out before that, the bodies of the oldest answers are
 * dropped, but never the fact that a key was used.
 */
package sycamoremast.coordination.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** What became of a keyed request. */
@Serializable
enum class ClaimState { OPEN, ANSWERED, UNKNOWN }

/** An answer that is kept for repeats; [body] is in base 64, or null if it was not kept. */
@Serializable
data class KeptAnswer(
    val status: Int,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: String? = null
)

/**
 * The claim [id] on [key] by the process [incarnation] of [host].
 *
 * [fingerprint] tells whether a repeat is the same request. Times are wall-clock milliseconds.
 */
@Serializable
data class Claim(
    val id: String,
    val key: String,
    val fingerprint: String,
    val host: String,
    val incarnation: Long,
    val atMillis: Long,
    val state: ClaimState = ClaimState.OPEN,
    val answer: KeptAnswer? = null
)

/** Why a key can't be claimed. */
sealed interface ClaimRefusal {
    /** The key was claimed before, by [claim]. */
    data class Taken(val claim: Claim) : ClaimRefusal

    /** The document has no space left for keys of the past day. */
    data object Full : ClaimRefusal
}

/** The claims in one document, the oldest first. */
@Serializable
data class ClaimBook(val claims: List<Claim> = emptyList()) {
    /** Returns the book with [claim] added, or why it can't be. */
    fun claim(claim: Claim, maxBytes: Int): Either<ClaimRefusal, ClaimBook> {
        val taken = claims.find { it.key == claim.key && it.id != claim.id }
        if (taken != null) return ClaimRefusal.Taken(taken).left()
        val next = ClaimBook(claims.filter { it.id != claim.id } + claim)
            .without(claim.atMillis - RETENTION_MILLIS)
            .shrunkTo(maxBytes)
        return if (next.bytes() > maxBytes) ClaimRefusal.Full.left() else next.right()
    }

    /** Returns the book in which the claim [id] has ended as [state]. */
    fun record(id: String, state: ClaimState, answer: KeptAnswer?, maxBytes: Int): ClaimBook =
        ClaimBook(claims.map { if (it.id == id) it.copy(state = state, answer = answer) else it })
            .shrunkTo(maxBytes)

    /** Returns the book without the claim [id], whose request was not run. */
    fun release(id: String): ClaimBook = ClaimBook(claims.filter { it.id != id })

    /** Returns the text that is kept in the key-value service. */
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    private fun without(beforeMillis: Long) =
        ClaimBook(claims.filter { it.atMillis >= beforeMillis })

    /** Drops the bodies of the oldest answers until half of the space is free. */
    private fun shrunkTo(maxBytes: Int): ClaimBook {
        if (bytes() <= maxBytes) return this
        var excess = bytes() - maxBytes / 2
        return ClaimBook(
            claims.map { claim ->
                val body = claim.answer?.body
                if (excess <= 0 || body == null) return@map claim
                excess -= body.length
                claim.copy(answer = claim.answer.copy(headers = emptyList(), body = null))
            }
        )
    }

    private fun bytes() = print().length

    companion object {
        /** How long a used key is remembered: one day. */
        const val RETENTION_MILLIS = 86_400_000L

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the book that [text] holds; an absent document holds no claims. */
        fun parse(text: String?): ClaimBook =
            if (text == null) ClaimBook() else FORMAT.decodeFromString(serializer(), text)
    }
}
