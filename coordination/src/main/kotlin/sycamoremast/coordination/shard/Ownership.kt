/**
 * How a host comes to own a shard and keeps it.
 *
 * The steps are: see that the owner's leased key is gone, get a lease, create the key under it, read
 * the document and raise its epoch. The last of these decides; the key only tells the other hosts
 * that the owner lives.
 */
package sycamoremast.coordination.shard

import arrow.core.Either
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.lease.OwnerLease
import sycamoremast.coordination.statechart.StateChart

/** Where a host stands on its way to owning a shard; see `shard.scxml`. */
internal enum class OwnershipPhase {
    STANDBY,
    READING_OWNER,
    GRANTING,
    CLAIMING,
    TAKING_OVER,
    OWNING,
    RELEASED
}

/** The steps between the phases. */
internal enum class OwnershipStep { LOOK, FIND_FREE, GET_LEASE, CLAIM, TAKE_OVER, ABANDON, RELEASE }

internal class Ownership(private val settings: ShardSettings, private val newCall: () -> Long) {
    var phase = CHART.initial
        private set
    private var lease: OwnerLease? = null
    private var call: Long? = null
    private var sentMillis = 0L
    private var dueMillis = Long.MIN_VALUE
    private var lastOwner: String? = null
    private var givenUp: LeaseId? = null
    private var freeSinceMillis: Long? = null

    /** Who goes first when the shard is free. */
    var preference = Preference.NONE

    fun isReliable(nowMillis: Long) =
        phase == OwnershipPhase.OWNING && lease?.isValid(nowMillis) == true

    /** Whether the lease lapsed less than the longest time ago that an owner may go on without it. */
    fun isWithinCutOff(nowMillis: Long): Boolean {
        val lapsed = lease?.validUntilMillis ?: return false
        return phase == OwnershipPhase.OWNING && nowMillis < lapsed + settings.longestCutOffMillis
    }

    /** Makes the next call, if one is due; returns false if the lease lapsed on the way. */
    fun tick(nowMillis: Long, out: MutableList<ShardAction>): Boolean {
        if (phase == OwnershipPhase.TAKING_OVER) return lease?.isValid(nowMillis) == true
        if (call != null || nowMillis < dueMillis) return true
        when (phase) {
            OwnershipPhase.STANDBY -> {
                advance(OwnershipStep.LOOK)
                out += ShardAction.ReadOwner(send(nowMillis))
            }

            OwnershipPhase.OWNING -> lease?.let {
                out += ShardAction.KeepLease(send(nowMillis), it.id)
            }

            else -> Unit
        }
        return true
    }

    /** When [tick] has something to do, unless an answer comes first. */
    val wakeMillis: Long
        get() = when {
            phase == OwnershipPhase.TAKING_OVER -> lease?.validUntilMillis ?: Long.MIN_VALUE
            call != null || phase == OwnershipPhase.RELEASED -> Long.MAX_VALUE
            else -> dueMillis
        }

    /**
     * Looks at once if the shard is free, and otherwise only if it is not seen again for long.
     *
     * A host that has given the shard up looks on until its revocation is seen to have worked, and
     * one that has read that the shard is free until it reads that it is held: a listing may be
     * older than that reading.
     */
    fun onOwnerSeen(isHeld: Boolean, nowMillis: Long) {
        val isLooking = givenUp != null || freeSinceMillis != null
        if (phase != OwnershipPhase.STANDBY || (isHeld && isLooking)) return
        dueMillis = if (isHeld) nowMillis + settings.ownerTiming.ttlMillis else nowMillis
    }

    fun onOwnerRead(event: ShardEvent.OwnerRead, nowMillis: Long, out: MutableList<ShardAction>) {
        if (!isAnswer(event.call)) return
        event.result.onRight { revokeAgainIfHeld(it, out) }
        val isFree = event.result.fold({ false }, { isFree(it, nowMillis) })
        if (!isFree || !mayClaim(nowMillis)) return abandon(nowMillis, out)
        advance(OwnershipStep.FIND_FREE)
        out += ShardAction.GrantLease(send(nowMillis))
    }

    /** The call that revoked a lease given up earlier may have been lost. */
    private fun revokeAgainIfHeld(owner: StoreEntry?, out: MutableList<ShardAction>) {
        val id = givenUp ?: return
        if (owner?.value == claimOf(id)) out += ShardAction.RevokeLease(id) else givenUp = null
    }

    private fun isFree(owner: StoreEntry?, nowMillis: Long): Boolean {
        if (owner == null) {
            freeSinceMillis = freeSinceMillis ?: nowMillis
        } else {
            freeSinceMillis = null
            lastOwner = owner.value.substringBefore(' ')
        }
        return owner == null
    }

    /** Whether this host goes first, or the one that should has had its time. */
    private fun mayClaim(nowMillis: Long): Boolean {
        val heir = preference.heirAfter(lastOwner)
        val since = freeSinceMillis ?: nowMillis
        return heir == null ||
            heir == settings.owner ||
            nowMillis >= since + HEIR_RETRIES * settings.retryMillis
    }

    fun onLeaseGranted(
        event: ShardEvent.LeaseGranted,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ) {
        if (!isAnswer(event.call)) return
        when (val result = event.result) {
            is Either.Left -> abandon(nowMillis, out)
            is Either.Right -> claim(result.value, nowMillis, out)
        }
    }

    private fun claim(id: LeaseId, nowMillis: Long, out: MutableList<ShardAction>) {
        lease = OwnerLease(id, settings.ownerTiming.validUntil(sentMillis))
        advance(OwnershipStep.GET_LEASE)
        sendClaim(id, nowMillis, out)
    }

    private fun sendClaim(id: LeaseId, nowMillis: Long, out: MutableList<ShardAction>) {
        out += ShardAction.ClaimOwner(send(nowMillis), id, claimOf(id))
    }

    /** What the key holds, told apart from any other claim by the lease. */
    private fun claimOf(id: LeaseId) = "${settings.owner} ${id.value}"

    /** Returns whether the key is created, so that the document is next. */
    fun onOwnerClaimed(
        event: ShardEvent.OwnerClaimed,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ): Boolean {
        if (!isAnswer(event.call)) return false
        val held = lease?.takeIf { it.isValid(nowMillis) }
        if (held != null && isClaimed(event.result, held.id)) {
            advance(OwnershipStep.CLAIM)
            return true
        }
        val isLost = event.result.fold({ it is StoreError.AnswerLost }, { false })
        if (held != null && isLost) {
            sendClaim(held.id, nowMillis, out)
        } else {
            abandon(nowMillis, out)
        }
        return false
    }

    /** A conflict with the host's own claim means that an earlier answer was lost. */
    private fun isClaimed(result: Either<StoreError, SwapOutcome>, id: LeaseId) = result.fold(
        { false },
        { it is SwapOutcome.Applied || (it as? SwapOutcome.Conflict)?.holds(claimOf(id)) == true }
    )

    private fun SwapOutcome.Conflict.holds(claim: String) = current?.value == claim

    fun onTakenOver(nowMillis: Long) {
        lastOwner = settings.owner
        freeSinceMillis = null
        advance(OwnershipStep.TAKE_OVER)
        dueMillis = nowMillis
    }

    /** Returns false if the service says that the lease is gone. */
    fun onLeaseKept(event: ShardEvent.LeaseKept, nowMillis: Long): Boolean {
        if (!isAnswer(event.call)) return true
        return when (val result = event.result) {
            is Either.Left -> {
                dueMillis = nowMillis + settings.retryMillis
                true
            }

            is Either.Right -> {
                if (result.value) lease = lease?.renewed(sentMillis, settings.ownerTiming)
                dueMillis = sentMillis + settings.ownerTiming.ttlMillis / RENEWALS_PER_LEASE
                result.value
            }
        }
    }

    /** Gives up what was reached and tries again after a pause. */
    fun abandon(nowMillis: Long, out: MutableList<ShardAction>) {
        lease?.let {
            out += ShardAction.RevokeLease(it.id)
            givenUp = it.id
        }
        lease = null
        call = null
        dueMillis = nowMillis + settings.retryMillis
        advance(OwnershipStep.ABANDON)
    }

    /** Gives the shard up for good. */
    fun release(nowMillis: Long, out: MutableList<ShardAction>) {
        abandon(nowMillis, out)
        advance(OwnershipStep.RELEASE)
    }

    private fun advance(step: OwnershipStep) {
        phase = checkNotNull(CHART.nextOrNull(phase, step)) { "$step does not follow $phase" }
    }

    private fun send(nowMillis: Long): Long {
        sentMillis = nowMillis
        return newCall().also { call = it }
    }

    private fun isAnswer(answered: Long): Boolean {
        if (answered != call) return false
        call = null
        return true
    }

    companion object {
        /** The chart of the phases. */
        val CHART = StateChart.fromResource(
            "shard.scxml",
            OwnershipPhase::class,
            OwnershipStep::class
        )
        private const val RENEWALS_PER_LEASE = 3

        /** How many reads of the owner's key the other hosts let the heir go first. */
        private const val HEIR_RETRIES = 3
    }
}
