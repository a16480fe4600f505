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
import sycamoremast.coordination.request.ClaimBook
import sycamoremast.coordination.request.ClaimRefusal
import sycamoremast.coordination.request.ClaimState
import sycamoremast.coordination.request.KeptAnswer
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

    /** The first request with this key was answered; [answer] has its body only if that is small. */
    data class Answered(val answer: KeptAnswer) : ClaimDecision

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

    /** Claims whose results are not yet recorded in the store, by key. */
    private val recent = ConcurrentHashMap<String, Claim>()
    private val pending = InProgress()
    private val recorder = Executors.newScheduledThreadPool(RECORDERS) { task ->
        Thread(task, "claim-recorder").apply { isDaemon = true }
    }

    /** Claims [key] for [request] with [body], and returns whether the request may be sent. */
    fun claim(request: CallerRequest, key: String, body: CallerBody): ClaimDecision {
        val claim = newClaim(request, key, body)
        val earlier = recent.putIfAbsent(claim.key, claim)
        if (earlier != null) return decisionOn(earlier, claim)
        val decision = write(claim)
        if (decision !is ClaimDecision.Claimed) recent.remove(claim.key, claim)
        return decision
    }

    /** Records that the request of [claim] was answered with [answer]. */
    fun answered(claim: Claim, answer: KeptAnswer) = end(claim, ClaimState.ANSWERED, answer)

    /** Records that the outcome of the request of [claim] is unknown. */
    fun unknown(claim: Claim) = end(claim, ClaimState.UNKNOWN, null)

    /** Releases the key of [claim], because its request certainly did not run. */
    fun notRun(claim: Claim) {
        persist(claim) { it.release(claim.id) }
    }

    /** Waits up to [timeout] for all results to be recorded, and returns whether they were. */
    fun awaitRecorded(timeout: Duration): Boolean = pending.awaitZero(timeout)

    override fun close() {
        recorder.shutdownNow()
    }

    private fun write(claim: Claim): ClaimDecision {
        val outcome = writer(claim.key).commit { text ->
            ClaimBook.parse(text).claim(claim, MAX_BYTES).map { it.print() }
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

    /**
     * Returns whether the process that made [claim] may still be running its request.
     *
     * A host that is not yet among the members is presumed to run for [UNKNOWN_HOST_MILLIS].
     */
    private fun isHeld(claim: Claim): Boolean {
        val self = membership.self
        if (claim.host == self.host) return claim.incarnation == self.incarnation
        val holder = membership.members().find { it.host == claim.host }
            ?: return wallMillis() - claim.atMillis < UNKNOWN_HOST_MILLIS
        return holder.state != MemberState.GONE && holder.incarnation <= claim.incarnation
    }

    private fun end(claim: Claim, state: ClaimState, answer: KeptAnswer?) {
        recent[claim.key] = claim.copy(state = state, answer = answer)
        persist(claim) { it.record(claim.id, state, answer, MAX_BYTES) }
    }

    private fun persist(claim: Claim, change: (ClaimBook) -> ClaimBook) {
        if (recorder.isShutdown) return
        pending.begin()
        recorder.execute { tryPersist(claim, change) }
    }

    private fun tryPersist(claim: Claim, change: (ClaimBook) -> ClaimBook) {
        val outcome = writer(claim.key).commit<Nothing> { text ->
            Either.Right(change(ClaimBook.parse(text)).print())
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

        /** The largest response body that is stored for repeats. */
        const val MAX_KEPT_BYTES = 4_096

        private const val MAX_BYTES = 400_000
        private const val RECORDERS = 4
        private const val AGAIN_MILLIS = 500L
        private const val UNKNOWN_HOST_MILLIS = 10_000L
        private const val FINGERPRINT_BYTES = 12
        private val GIVE_UP_AFTER = 1.seconds
    }
}
