/**
 * Acquires and keeps the ownership of a shard.
 *
 * A host checks that the owner's leased key does not exist, acquires a lease, creates the key under
 * that lease, reads the shard's document and raises its epoch. Only the write of the epoch
 * transfers ownership; the key merely shows other hosts that the owner is alive.
 */
package sycamoremast.coordination.shard

import arrow.core.Either
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.lease.OwnerLease
import sycamoremast.coordination.statechart.StateChart

/** The phases of acquiring and holding a shard; `shard.scxml` defines the transitions. */
internal enum class OwnershipPhase {
    STANDBY,
    READING_OWNER,
    GRANTING,
    CLAIMING,
    TAKING_OVER,
    OWNING,
    RELEASED
}

/** The events that move a host between phases. */
internal enum class OwnershipEvent {
    CHECK_OWNER,
    FIND_UNOWNED,
    GET_LEASE,
    CLAIM,
    TAKE_OVER,
    ABANDON,
    RELEASE
}

internal class Ownership(private val settings: ShardSettings, private val newCall: () -> Long) {
    var phase = CHART.initial
        private set
    private var lease: OwnerLease? = null
    private var call: Long? = null
    private var sentMillis = 0L
    private var nextCallMillis = Long.MIN_VALUE
    private var lastOwner: String? = null
    private var abandonedLease: LeaseId? = null
    private var unownedSinceMillis: Long? = null

    /** The hosts that take precedence when the shard has no owner. */
    var preference = Preference.NONE

    fun isReliable(nowMillis: Long) =
        phase == OwnershipPhase.OWNING && lease?.isValid(nowMillis) == true

    /** Whether the host owns the shard and its lease lapsed within the store outage limit. */
    fun isWithinStoreOutageLimit(nowMillis: Long): Boolean {
        val lapsed = lease?.validUntilMillis ?: return false
        return phase == OwnershipPhase.OWNING && nowMillis < lapsed + settings.maxStoreOutageMillis
    }

    /** Appends the next call if one is due; returns false if the lease lapsed during a takeover. */
    fun tick(nowMillis: Long, out: MutableList<ShardAction>): Boolean {
        if (phase == OwnershipPhase.TAKING_OVER) return lease?.isValid(nowMillis) == true
        if (call != null || nowMillis < nextCallMillis) return true
        when (phase) {
            OwnershipPhase.STANDBY -> {
                advance(OwnershipEvent.CHECK_OWNER)
                out += ShardAction.ReadOwner(send(nowMillis))
            }

            OwnershipPhase.OWNING -> lease?.let {
                out += ShardAction.KeepLease(send(nowMillis), it.id)
            }

            else -> Unit
        }
        return true
    }

    /** The time at which [tick] has work to do if no answer comes first. */
    val wakeMillis: Long
        get() = when {
            phase == OwnershipPhase.TAKING_OVER -> lease?.validUntilMillis ?: Long.MIN_VALUE
            call != null || phase == OwnershipPhase.RELEASED -> Long.MAX_VALUE
            else -> nextCallMillis
        }

    /**
     * Schedules the next check of the owner's key after a listing showed whether it is held.
     *
     * The check is due at once if the key is not held, and otherwise one lease time after the last
     * listing that showed it. A listing may be older than the host's last read. Therefore a host
     * that has abandoned the shard keeps checking until it reads that its revocation took effect,
     * and one that has read that the shard has no owner keeps checking until it reads an owner.
     */
    fun onOwnerSeen(isHeld: Boolean, nowMillis: Long) {
        val isCheckingOwner = abandonedLease != null || unownedSinceMillis != null
        if (phase != OwnershipPhase.STANDBY || (isHeld && isCheckingOwner)) return
        nextCallMillis = if (isHeld) nowMillis + settings.ownerTiming.ttlMillis else nowMillis
    }

    fun onOwnerRead(event: ShardEvent.OwnerRead, nowMillis: Long, out: MutableList<ShardAction>) {
        if (!acceptAnswer(event.call)) return
        event.result.onRight { revokeAgainIfHeld(it, out) }
        val isUnowned = event.result.fold({ false }, { observeOwner(it, nowMillis) })
        if (!isUnowned || !canClaim(nowMillis)) return abandon(nowMillis, out)
        advance(OwnershipEvent.FIND_UNOWNED)
        out += ShardAction.GrantLease(send(nowMillis))
    }

    /** Revokes an abandoned lease again if its key still exists, as the first call may be lost. */
    private fun revokeAgainIfHeld(owner: StoreEntry?, out: MutableList<ShardAction>) {
        val id = abandonedLease ?: return
        if (owner?.value == claimOf(id)) {
            out += ShardAction.RevokeLease(id)
        } else {
            abandonedLease = null
        }
    }

    /** Records what the owner's key holds; returns whether the shard has no owner. */
    private fun observeOwner(owner: StoreEntry?, nowMillis: Long): Boolean {
        if (owner == null) {
            unownedSinceMillis = unownedSinceMillis ?: nowMillis
        } else {
            unownedSinceMillis = null
            lastOwner = owner.value.substringBefore(' ')
        }
        return owner == null
    }

    /** Whether no other host takes precedence, or the one that does has used up its head start. */
    private fun canClaim(nowMillis: Long): Boolean {
        val successor = preference.nextOwner(lastOwner)
        val since = unownedSinceMillis ?: nowMillis
        return successor == null ||
            successor == settings.owner ||
            nowMillis >= since + SUCCESSOR_HEAD_START_RETRIES * settings.retryMillis
    }

    fun onLeaseGranted(
        event: ShardEvent.LeaseGranted,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ) {
        if (!acceptAnswer(event.call)) return
        when (val result = event.result) {
            is Either.Left -> abandon(nowMillis, out)
            is Either.Right -> claim(result.value, nowMillis, out)
        }
    }

    private fun claim(id: LeaseId, nowMillis: Long, out: MutableList<ShardAction>) {
        lease = OwnerLease(id, settings.ownerTiming.validUntil(sentMillis))
        advance(OwnershipEvent.GET_LEASE)
        sendClaim(id, nowMillis, out)
    }

    private fun sendClaim(id: LeaseId, nowMillis: Long, out: MutableList<ShardAction>) {
        out += ShardAction.ClaimOwner(send(nowMillis), id, claimOf(id))
    }

    /** Returns the key's value for [id]; the lease makes it differ from any other claim. */
    private fun claimOf(id: LeaseId) = "${settings.owner} ${id.value}"

    /** Returns whether the key has been created, so that the document can be read. */
    fun onOwnerClaimed(
        event: ShardEvent.OwnerClaimed,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ): Boolean {
        if (!acceptAnswer(event.call)) return false
        val held = lease?.takeIf { it.isValid(nowMillis) }
        if (held != null && isClaimed(event.result, held.id)) {
            advance(OwnershipEvent.CLAIM)
            return true
        }
        val isAnswerLost = event.result.fold({ it is StoreError.AnswerLost }, { false })
        if (held != null && isAnswerLost) {
            sendClaim(held.id, nowMillis, out)
        } else {
            abandon(nowMillis, out)
        }
        return false
    }

    /** A conflict with this host's own claim means that the answer to an earlier call was lost. */
    private fun isClaimed(result: Either<StoreError, SwapOutcome>, id: LeaseId) = result.fold(
        { false },
        { it is SwapOutcome.Applied || (it as? SwapOutcome.Conflict)?.holds(claimOf(id)) == true }
    )

    private fun SwapOutcome.Conflict.holds(claim: String) = current?.value == claim

    fun onTakenOver(nowMillis: Long) {
        lastOwner = settings.owner
        unownedSinceMillis = null
        advance(OwnershipEvent.TAKE_OVER)
        nextCallMillis = nowMillis
    }

    /** Returns false if the store answers that the lease no longer exists. */
    fun onLeaseKept(event: ShardEvent.LeaseKept, nowMillis: Long): Boolean {
        if (!acceptAnswer(event.call)) return true
        return when (val result = event.result) {
            is Either.Left -> {
                nextCallMillis = nowMillis + settings.retryMillis
                true
            }

            is Either.Right -> {
                if (result.value) lease = lease?.renewed(sentMillis, settings.ownerTiming)
                nextCallMillis = sentMillis + settings.ownerTiming.ttlMillis / RENEWALS_PER_LEASE
                result.value
            }
        }
    }

    /** Revokes the lease, if any, and returns to standby; the next check follows after a delay. */
    fun abandon(nowMillis: Long, out: MutableList<ShardAction>) {
        lease?.let {
            out += ShardAction.RevokeLease(it.id)
            abandonedLease = it.id
        }
        lease = null
        call = null
        nextCallMillis = nowMillis + settings.retryMillis
        advance(OwnershipEvent.ABANDON)
    }

    /** Gives up the shard permanently. */
    fun release(nowMillis: Long, out: MutableList<ShardAction>) {
        abandon(nowMillis, out)
        advance(OwnershipEvent.RELEASE)
    }

    private fun advance(event: OwnershipEvent) {
        phase = checkNotNull(CHART.nextOrNull(phase, event)) { "$event does not follow $phase" }
    }

    private fun send(nowMillis: Long): Long {
        sentMillis = nowMillis
        return newCall().also { call = it }
    }

    /** Returns whether [answered] is the call in flight, and then marks it as answered. */
    private fun acceptAnswer(answered: Long): Boolean {
        if (answered != call) return false
        call = null
        return true
    }

    companion object {
        /** The state chart of ownership. */
        val CHART = StateChart.fromResource(
            "shard.scxml",
            OwnershipPhase::class,
            OwnershipEvent::class
        )
        private const val RENEWALS_PER_LEASE = 3

        /** The preferred successor's head start, as a number of reads of the owner's key. */
        private const val SUCCESSOR_HEAD_START_RETRIES = 3
    }
}
