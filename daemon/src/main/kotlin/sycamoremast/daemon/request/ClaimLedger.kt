/**
 * Claims idempotency keys in the key-value service before their requests are sent.
 *
 * Keys are spread over many documents, so that each stays small; claims that wait for the same
 * document are written together. A result is recorded in the background until that succeeds; in the
 * meantime repeats through this host are answered from memory.
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

/** Whether a keyed request may be sent. */
internal sealed interface ClaimDecision {
    /** The key is claimed durably by [claim]. */
    data class Claimed(val claim: Claim) : ClaimDecision

    /** The first request with this key was answered; the answer is kept if it was small. */
    data class Answered(val answer: StoredResponse) : ClaimDecision

    /** The first request with this key is still in progress. */
    data object InProgress : ClaimDecision

    /** It can't be known what became of the first request with this key. */
    data object Unknown : ClaimDecision

    /** The key was used for another request. */
    data object Mismatch : ClaimDecision

    /** The key could not be claimed; nothing was or will be sent. */
    data class Unavailable(val peer: String, val reason: String) : ClaimDecision
}

internal class ClaimLedger(
    private val store: KeyValueStore,
    private val budget: CallBudget,
    private val membership: MembershipView,
    private val wallMillis: () -> Long = System::currentTimeMillis
) : AutoCloseable {
    private val writers = ConcurrentHashMap<String, DocumentWriter>()
    private val recent = ConcurrentHashMap<String, Claim>()
    private val pending = InProgress()
    private val recorder = Executors.newScheduledThreadPool(RECORDERS) { task ->
        Thread(task, "claim-recorder").apply { isDaemon = true }
    }

    /** Returns whether [request] may be sent, after its key was claimed if so. */
    fun claim(request: CallerRequest, key: String, body: CallerBody): ClaimDecision {
        val claim = newClaim(request, key, body)
        val earlier = recent.putIfAbsent(claim.key, claim)
        if (earlier != null) return decisionOn(earlier, claim)
        val decision = write(claim)
        if (decision !is ClaimDecision.Claimed) recent.remove(claim.key, claim)
        return decision
    }

    /** Records that the request of [claim] was answered; a body that is null is not kept. */
    fun answered(claim: Claim, answer: StoredResponse) = end(claim, ClaimState.ANSWERED, answer)

    /** Records that it can't be known what became of the request of [claim]. */
    fun unknown(claim: Claim) = end(claim, ClaimState.UNKNOWN, null)

    /** Gives the key of [claim] free, since its request was certainly not run. */
    fun notRun(claim: Claim) {
        persist(claim) { it.release(claim.id) }
    }

    /** Returns whether all results were recorded within [timeout]. */
    fun awaitRecorded(timeout: Duration): Boolean = pending.awaitZero(timeout)

    override fun close() {
        recorder.shutdownNow()
    }

    private fun write(claim: Claim): ClaimDecision {
        val outcome = writer(claim.key).commit { text ->
            ClaimDocument.parse(text).claim(claim, MAX_BYTES).map { it.toJson() }
        }
        return when (outcome) {
            is CommitOutcome.Committed -> ClaimDecision.Claimed(claim)

            is CommitOutcome.Rejected -> when (val refusal = outcome.rejection) {
                is ClaimRefusal.Taken -> decisionOn(refusal.claim, claim)
                is ClaimRefusal.Full -> ClaimDecision.Unavailable(
                    "self",
                    "too many keys are in use"
                )
            }

            is CommitOutcome.NotCommitted -> ClaimDecision.Unavailable(outcome.peer, outcome.reason)

            is CommitOutcome.Unknown -> {
                notRun(claim)
                ClaimDecision.Unavailable(outcome.peer, outcome.reason)
            }
        }
    }

    private fun decisionOn(earlier: Claim, claim: Claim): ClaimDecision = when {
        earlier.fingerprint != claim.fingerprint -> ClaimDecision.Mismatch

        earlier.state == ClaimState.ANSWERED ->
            ClaimDecision.Answered(checkNotNull(earlier.answer))

        earlier.state == ClaimState.UNKNOWN -> ClaimDecision.Unknown

        isHeld(earlier) -> ClaimDecision.InProgress

        else -> ClaimDecision.Unknown
    }

    /** Whether the process that holds [claim] may still end it; a host not yet known may. */
    private fun isHeld(claim: Claim): Boolean {
        val self = membership.self
        if (claim.host == self.host) return claim.incarnation == self.incarnation
        val holder = membership.members().find { it.host == claim.host }
            ?: return wallMillis() - claim.atMillis < UNKNOWN_HOST_MILLIS
        return holder.state != MemberState.GONE && holder.incarnation <= claim.incarnation
    }

    private fun end(claim: Claim, state: ClaimState, answer: StoredResponse?) {
        recent[claim.key] = claim.copy(state = state, answer = answer)
        persist(claim) { it.record(claim.id, state, answer, MAX_BYTES) }
    }

    private fun persist(claim: Claim, change: (ClaimDocument) -> ClaimDocument) {
        if (recorder.isShutdown) return
        pending.begin()
        recorder.execute { tryPersist(claim, change) }
    }

    private fun tryPersist(claim: Claim, change: (ClaimDocument) -> ClaimDocument) {
        val outcome = writer(claim.key).commit<Nothing> { text ->
            Either.Right(change(ClaimDocument.parse(text)).toJson())
        }
        if (outcome is CommitOutcome.Committed) {
            recent.remove(claim.key)
            pending.end()
        } else {
            Logger.warn { event("claim-unrecorded", "step" to "record", "id" to claim.id) }
            val again = { tryPersist(claim, change) }
            recorder.schedule(again, AGAIN_MILLIS, TimeUnit.MILLISECONDS)
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
        val bucket = Math.floorMod(key.hashCode(), BUCKETS)
        return writers.computeIfAbsent("$PREFIX$bucket") {
            DocumentWriter.create(store, it, budget, WriterLimits(giveUpAfter = GIVE_UP_AFTER))
        }
    }

    internal companion object {
        const val PREFIX = "sycamoremast/claims/"
        const val BUCKETS = 256

        /** The largest answer body that is kept for repeats. */
        const val MAX_KEPT_BYTES = 4_096

        private const val MAX_BYTES = 400_000
        private const val RECORDERS = 4
        private const val AGAIN_MILLIS = 500L
        private const val UNKNOWN_HOST_MILLIS = 10_000L
        private const val FINGERPRINT_BYTES = 12
        private val GIVE_UP_AFTER = 1.seconds
    }
}
