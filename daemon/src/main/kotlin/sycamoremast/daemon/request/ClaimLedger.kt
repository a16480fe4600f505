/**
 * Claims idempotency keys in the key-value store before their requests are sent.
 *
 * The claims are distributed over many documents, so that each document stays small; claims that
 * wait for the same document are written together. Results are recorded in the background, and are
 * retried until they are written; meanwhile this host answers repeats from memory.
 */
package sycamoremast.daemon.request

import arrow.core.Either
import java.security.MessageDigest
import java.util.Base64
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.membership.MemberState
import sycamoremast.coordination.request.Claim
import sycamoremast.coordination.request.ClaimDocument
import sycamoremast.coordination.request.ClaimRefusal
import sycamoremast.coordination.request.ClaimState
import sycamoremast.coordination.request.StoredResponse
import sycamoremast.coordination.store.CallBudget
import sycamoremast.coordination.store.CommitOutcome
import sycamoremast.coordination.store.DocumentWriter
import sycamoremast.coordination.store.WriterLimits
import sycamoremast.daemon.control.MembershipView
import sycamoremast.daemon.log.event

/** The decision whether a request with an idempotency key may be sent. */
internal sealed interface ClaimDecision {
    /** The key is claimed durably by [claim]; the request may be sent. */
    data class Claimed(val claim: Claim) : ClaimDecision

    /** The first request with this key was answered; [answer] has the body only if it is small. */
    data class Answered(val answer: StoredResponse) : ClaimDecision

    /** The first request with this key is still in progress. */
    data object InProgress : ClaimDecision

    /** The outcome of the first request with this key is unknown. */
    data object Unknown : ClaimDecision

    /** The key was used for a different request. */
    data object Mismatch : ClaimDecision

    /** The key could not be claimed; the request was not sent and will not be. */
    data class Unavailable(val peer: String, val reason: String) : ClaimDecision
}

/** The claims of idempotency keys in [store], as this host makes and reads them. */
internal class ClaimLedger(
    private val store: KeyValueStore,
    private val budget: CallBudget,
    private val membership: MembershipView,
    private val wallMillis: () -> Long = System::currentTimeMillis
) : AutoCloseable {
    private val writers = ConcurrentHashMap<String, DocumentWriter>()

    /** Claims of this process whose results are not yet recorded in the store, by key. */
    private val unrecorded = ConcurrentHashMap<String, Claim>()
    private val unwritten = InProgressCounter()
    private val recorder = Executors.newScheduledThreadPool(RECORDER_THREADS) { task ->
        Thread(task, "claim-recorder").apply { isDaemon = true }
    }

    /** Claims [key] for [request] with [body], and returns whether the request may be sent. */
    fun claim(request: CallerRequest, key: String, body: CallerBody): ClaimDecision {
        val claim = newClaim(request, key, body)
        val earlier = unrecorded.putIfAbsent(claim.key, claim)
        if (earlier != null) return decisionFor(earlier, claim)
        val decision = writeClaim(claim)
        if (decision !is ClaimDecision.Claimed) unrecorded.remove(claim.key, claim)
        return decision
    }

    /** Records that the request of [claim] was answered with [answer]. */
    fun recordAnswered(claim: Claim, answer: StoredResponse) =
        recordResult(claim, ClaimState.ANSWERED, answer)

    /** Records that the outcome of the request of [claim] is unknown. */
    fun recordUnknown(claim: Claim) = recordResult(claim, ClaimState.UNKNOWN, null)

    /** Releases the key of [claim], because its request certainly did not run. */
    fun releaseKey(claim: Claim) {
        persistAsync(claim) { it.release(claim.id) }
    }

    /** Waits up to [timeout] for all results to be recorded, and returns whether they were. */
    fun awaitRecorded(timeout: Duration): Boolean = unwritten.awaitZero(timeout)

    override fun close() {
        recorder.shutdownNow()
    }

    private fun writeClaim(claim: Claim): ClaimDecision {
        val outcome = writer(claim.key).commit { text ->
            ClaimDocument.parse(text).claim(claim, MAX_DOCUMENT_BYTES).map { it.toJson() }
        }
        return when (outcome) {
            is CommitOutcome.Committed -> ClaimDecision.Claimed(claim)

            is CommitOutcome.Rejected -> when (val refusal = outcome.rejection) {
                is ClaimRefusal.Taken -> decisionFor(refusal.claim, claim)
                is ClaimRefusal.Full -> ClaimDecision.Unavailable(
                    "self",
                    "too many keys are in use"
                )
            }

            is CommitOutcome.NotCommitted -> ClaimDecision.Unavailable(outcome.peer, outcome.reason)

            is CommitOutcome.Unknown -> {
                releaseKey(claim)
                ClaimDecision.Unavailable(outcome.peer, outcome.reason)
            }
        }
    }

    private fun decisionFor(earlier: Claim, claim: Claim): ClaimDecision = when {
        earlier.fingerprint != claim.fingerprint -> ClaimDecision.Mismatch

        earlier.state == ClaimState.ANSWERED ->
            ClaimDecision.Answered(checkNotNull(earlier.answer))

        earlier.state == ClaimState.UNKNOWN -> ClaimDecision.Unknown

        mayBeRunning(earlier) -> ClaimDecision.InProgress

        else -> ClaimDecision.Unknown
    }

    /**
     * Returns whether the process that made [claim] may still be running its request.
     *
     * A host that is not yet among the members is presumed to run for [UNKNOWN_HOST_GRACE_MILLIS].
     */
    private fun mayBeRunning(claim: Claim): Boolean {
        val self = membership.self
        if (claim.host == self.host) return claim.incarnation == self.incarnation
        val holder = membership.members().find { it.host == claim.host }
            ?: return wallMillis() - claim.atMillis < UNKNOWN_HOST_GRACE_MILLIS
        return holder.state != MemberState.GONE && holder.incarnation <= claim.incarnation
    }

    private fun recordResult(claim: Claim, state: ClaimState, answer: StoredResponse?) {
        unrecorded[claim.key] = claim.copy(state = state, answer = answer)
        persistAsync(claim) { it.record(claim.id, state, answer, MAX_DOCUMENT_BYTES) }
    }

    private fun persistAsync(claim: Claim, change: (ClaimDocument) -> ClaimDocument) {
        if (recorder.isShutdown) return
        unwritten.begin()
        recorder.execute { persistOrRetry(claim, change) }
    }

    private fun persistOrRetry(claim: Claim, change: (ClaimDocument) -> ClaimDocument) {
        val outcome = writer(claim.key).commit<Nothing> { text ->
            Either.Right(change(ClaimDocument.parse(text)).toJson())
        }
        if (outcome is CommitOutcome.Committed) {
            unrecorded.remove(claim.key)
            unwritten.end()
        } else {
            Logger.warn { event("claim-unrecorded", "step" to "record", "id" to claim.id) }
            val retry = { persistOrRetry(claim, change) }
            recorder.schedule(retry, RETRY_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun newClaim(request: CallerRequest, key: String, body: CallerBody): Claim {
        val self = membership.self
        return Claim(
            id = UUID.randomUUID().toString(),
            key = "${request.service}/$key",
            fingerprint = fingerprint(request, body),
            host = self.host,
            incarnation = self.incarnation,
            atMillis = wallMillis()
        )
    }

    private fun fingerprint(request: CallerRequest, body: CallerBody): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${request.http.method} ${request.path}\n".toByteArray())
        digest.update(body.head)
        val bytes = digest.digest().copyOf(FINGERPRINT_BYTES)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    private fun writer(key: String): DocumentWriter {
        val document = Math.floorMod(key.hashCode(), DOCUMENT_COUNT)
        return writers.computeIfAbsent("$DOCUMENT_PREFIX$document") {
            DocumentWriter.create(store, it, budget, WriterLimits(commitTimeout = COMMIT_TIMEOUT))
        }
    }

    internal companion object {
        const val DOCUMENT_PREFIX = "sycamoremast/claims/"
        const val DOCUMENT_COUNT = 256

        /** The largest response body that is stored for repeats. */
        const val MAX_KEPT_BYTES = 4_096

        private const val MAX_DOCUMENT_BYTES = 400_000
        private const val RECORDER_THREADS = 4
        private const val RETRY_MILLIS = 500L
        private const val UNKNOWN_HOST_GRACE_MILLIS = 10_000L
        private const val FINGERPRINT_BYTES = 12
        private val COMMIT_TIMEOUT = 1.seconds
    }
}
