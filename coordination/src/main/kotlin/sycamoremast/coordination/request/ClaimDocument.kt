/**
 * Claims on idempotency keys, stored together as one document in the key-value service.
 *
 * A key is claimed before its request is sent, and the result is recorded afterwards. A claim
 * without a result is never passed on to another request: once its host is gone, nobody knows
 * whether the request ran. Claims are retained for a day. If the document gets too large before
 * that, the bodies of the oldest responses are dropped, but the keys stay claimed.
 */
package sycamoremast.coordination.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The state of a claim.
 *
 * A claim is `OPEN` until its request has an outcome, and `UNKNOWN` if the request may have run.
 */
@Serializable
enum class ClaimState { OPEN, ANSWERED, UNKNOWN }

/** A response stored for repeated requests; [body] is Base64, or null if it is not stored. */
@Serializable
data class StoredResponse(
    val status: Int,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: String? = null
)

/**
 * The claim [id] on the idempotency [key], made by the [incarnation] of the process on [host].
 *
 * A repeated request with another [fingerprint] is a different request that reuses the key.
 * [atMillis] is the wall-clock time of the claim.
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
    val answer: StoredResponse? = null
)

/** The reason why a key can't be claimed. */
sealed interface ClaimRefusal {
    /** The key is already claimed by [claim]. */
    data class Taken(val claim: Claim) : ClaimRefusal

    /** The document is full of keys that were claimed within the retention period. */
    data object Full : ClaimRefusal
}

/** The claims in one document, oldest first. */
@Serializable
data class ClaimDocument(val claims: List<Claim> = emptyList()) {
    /** Returns this document with [claim] added, or the reason why it can't be added. */
    fun claim(claim: Claim, maxBytes: Int): Either<ClaimRefusal, ClaimDocument> {
        val taken = claims.find { it.key == claim.key && it.id != claim.id }
        if (taken != null) return ClaimRefusal.Taken(taken).left()
        val next = ClaimDocument(claims.filter { it.id != claim.id } + claim)
            .withoutClaimsBefore(claim.atMillis - RETENTION_MILLIS)
            .withBodiesEvicted(maxBytes)
        return if (next.length() > maxBytes) ClaimRefusal.Full.left() else next.right()
    }

    /** Returns this document with the outcome of the claim [id] set to [state] and [answer]. */
    fun record(
        id: String,
        state: ClaimState,
        answer: StoredResponse?,
        maxBytes: Int
    ): ClaimDocument = ClaimDocument(
        claims.map { if (it.id == id) it.copy(state = state, answer = answer) else it }
    ).withBodiesEvicted(maxBytes)

    /** Returns this document without the claim [id], whose request did not run. */
    fun release(id: String): ClaimDocument = ClaimDocument(claims.filter { it.id != id })

    /** Returns the JSON text that is stored in the key-value service. */
    fun toJson(): String = JSON.encodeToString(serializer(), this)

    private fun withoutClaimsBefore(beforeMillis: Long) =
        ClaimDocument(claims.filter { it.atMillis >= beforeMillis })

    /** Drops the bodies of the oldest responses until at most half of [maxBytes] is used. */
    private fun withBodiesEvicted(maxBytes: Int): ClaimDocument {
        if (length() <= maxBytes) return this
        var excess = length() - maxBytes / 2
        return ClaimDocument(
            claims.map { claim ->
                val body = claim.answer?.body
                if (excess <= 0 || body == null) return@map claim
                excess -= body.length
                claim.copy(answer = claim.answer.copy(headers = emptyList(), body = null))
            }
        )
    }

    private fun length() = toJson().length

    companion object {
        /** How long a claim is retained: one day. */
        const val RETENTION_MILLIS = 86_400_000L

        private val JSON = Json { ignoreUnknownKeys = true }

        /** Returns the document parsed from [text]; null, an absent document, holds no claims. */
        fun parse(text: String?): ClaimDocument =
            if (text == null) ClaimDocument() else JSON.decodeFromString(serializer(), text)
    }
}
