/**
 * Elects the host that owns a worker set.
 *
 * The owner holds a key in the store under a lease that it renews. Every other host watches the key
 * and, once it is deleted, claims it in one transaction that also increments the epoch, which is
 * the fencing token. An owner that can't reach the store continues past its lease for a bounded
 * time: workers reject its orders as soon as a newer owner has contacted them. So does an owner that
 * is to hand over in an outage of the store, in which nobody can succeed it.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.flatMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.MILLISECONDS
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StandbyReport
import sycamoremast.coordination.workflow.StoreSightings
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.OwnerHeartbeat

/**
 * A term of ownership.
 *
 * [epochRevision] is the revision at which the key of [epoch] was written, and [sightings] tells
 * when this host made its claim and when it saw those and the rosters of earlier epochs.
 */
internal data class Term(val epoch: Long, val epochRevision: Long, val sightings: StoreSightings)

/**
 * The owner key's content at [version], which this host has known since [seenMillis]; [record] is
 * null if the key is absent or unreadable.
 */
private class OwnerKeyState(val record: OwnerRecord?, val version: Long, val seenMillis: Long)

/** Receives the start and end of this host's terms of ownership, on the election thread. */
internal interface TermListener {
    fun onBegin(term: Term)

    fun onEnd(reason: String)
}

/**
 * Takes part for [host], in its [process], in the election of the owner of worker set [set].
 *
 * While [hasStrongerHost] returns true, this host delays its claims in favour of stronger hosts.
 */
internal class Election(
    private val store: TransactionalStore,
    private val host: String,
    private val set: Int,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val listener: TermListener,
    private val process: HostProcess = HostProcess(host),
    private val hasStrongerHost: () -> Boolean = { false }
) : PrefixListener,
    AutoCloseable {
    private class HeldTerm(val lease: LeaseId, val term: Term, val claimedMillis: Long) {
        @Volatile
        var renewedMillis = claimedMillis
    }

    /** Wakes the election thread; a non-empty element is a reason to end the current term. */
    private val wakeUps = LinkedBlockingQueue<String>()
    private val follower = PrefixFollower(store, WorkflowKeys.owner(set), log, this)
    private val thread = Thread(::run, "election").apply { isDaemon = true }

    @Volatile
    private var heldTerm: HeldTerm? = null

    /** The state of the lease of the current term; without a term, it is not in force. */
    val leaseState: LeaseState
        get() = heldTerm?.let(::leaseState) ?: LeaseState.LAPSED

    /** When all standbys last confirmed the present term, or null. */
    var confirmedMillis: () -> Long? = { null }

    private val history = OwnerHistory(set, clock, log)
    private val startedMillis = clock.nowMillis()

    /** Whether the store gave this process no answer for a while after its start. */
    @Volatile
    private var hasStartedInOutage = false

    /** When the last term of this host had ended, in this process or in an earlier one. */
    @Volatile
    private var lastEndMillis = clock.nowMillis()

    /** The epoch of the term whose scheduler may still act, or null. */
    @Volatile
    private var activeEpoch: Long? = null

    /** The last claim that this host has seen, or null. */
    val lastOwner: OwnerRecord? get() = history.lastClaim

    /** The last epoch of which this host knows. */
    val lastEpoch: Long get() = history.lastEpoch

    /** The last seen content of the owner's key, or null before the first listing. */
    @Volatile
    private var ownerKey: OwnerKeyState? = null

    @Volatile
    private var isOpen = true

    /** Until when a closing election may go on with its term. */
    @Volatile
    private var closesByMillis = Long.MAX_VALUE

    /** Whether a term goes on although the election is closing; used by the election thread only. */
    private var goesOn = false

    fun start() = apply {
        follower.start()
        thread.start()
    }

    override fun onListing(listing: StoreListing) {
        if (ownerKey == null) {
            hasStartedInOutage = clock.nowMillis() > startedMillis + USUAL_LISTING_MILLIS
        }
        listing.entries.forEach { history.record(it.key, it.value) }
        val entry = listing.entries.find { it.key == WorkflowKeys.owner(set) }
        updateOwnerKey(entry?.value, entry?.version)
    }

    override fun onChange(change: StoreChange) {
        val value = change.value
        when {
            change.key == WorkflowKeys.owner(set) -> updateOwnerKey(value, change.revision)
            value != null -> history.recordChange(change.key, value)
        }
    }

    private fun updateOwnerKey(value: String?, version: Long?) {
        val record = value?.let { decodeRecordOrNull<OwnerRecord>(it) }
        if (record != null) history.recordClaim(record.epoch)
        ownerKey = OwnerKeyState(
            record,
            version?.takeIf { value != null } ?: StoreEntry.ABSENT,
            clock.nowMillis()
        )
        wakeUps += ""
    }

    /** Acknowledges a [heartbeat] of an owner if that is the last one known. */
    fun acknowledgeHeartbeat(heartbeat: OwnerHeartbeat): Boolean = history.acknowledge(heartbeat)

    /**
     * Returns what this process has acknowledged of the owner of [lastEpoch], for its successor of
     * [epoch]; no more heartbeats of earlier owners are acknowledged.
     */
    fun reportStandby(epoch: Long, lastEpoch: Long): StandbyReport =
        history.report(epoch, lastEpoch)

    /**
     * Returns how long ago the owner of [lastEpoch], which was on this host, had ended, for its
     * successor of [epoch], or null if it may still act; no more heartbeats of earlier owners are
     * acknowledged.
     */
    fun reportEndOrNull(epoch: Long, lastEpoch: Long): StandbyReport? {
        history.endAcknowledgements(epoch)
        if (activeEpoch == lastEpoch) return null
        val millisAgo = clock.nowMillis() - lastEndMillis
        return StandbyReport(millisAgo, liftedLimits = null, isOwnerEnd = true)
    }

    /** Ends the current term, if any, for [reason]; returns at once. */
    fun depose(reason: String) {
        wakeUps += reason
    }

    /**
     * Renews the lease of the current term if that is due; returns whether the term goes on.
     *
     * Called on the election thread while the term begins, so that it may take longer than a lease.
     */
    fun keepTerm(): Boolean {
        val held = heldTerm ?: return false
        renew(held)
        return isOpen && heldTerm === held
    }

    private fun run() {
        while (isOpen || heldTerm != null) {
            try {
                val longestMillis =
                    if (isOpen) RENEWAL_INTERVAL_MILLIS else HAND_OVER_INTERVAL_MILLIS
                step(wakeUps.poll(longestMillis, MILLISECONDS).orEmpty())
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("election-error", "error" to e)
            }
        }
    }

    private fun step(deposeReason: String) {
        val held = heldTerm
        when {
            held != null && deposeReason.isNotEmpty() -> endTerm(held, deposeReason)
            held != null && !isOpen -> endOrGoOn(held)
            held != null -> renew(held)
            isOpen -> claimIfFree()
        }
    }

    /**
     * Returns the owner's key if this host may claim it, or null.
     *
     * Only one process runs per host: if the key names this host, the process that wrote it has
     * ended.
     */
    private fun claimableKeyOrNull(): OwnerKeyState? =
        ownerKey?.takeIf { it.record == null || it.record.host == host }

    private fun leaseState(held: HeldTerm): LeaseState {
        val now = clock.nowMillis()
        val actsFromMillis = maxOf(held.renewedMillis, confirmedMillis() ?: held.renewedMillis)
        return when {
            now < held.renewedMillis + LEASE_TTL_MILLIS - LEASE_MARGIN_MILLIS -> LeaseState.VALID
            now < actsFromMillis + ACTING_MILLIS -> LeaseState.LAPSED
            else -> LeaseState.OVER
        }
    }

    private fun renew(held: HeldTerm) {
        val now = clock.nowMillis()
        if (now < held.renewedMillis + RENEWAL_INTERVAL_MILLIS) return
        when (val renewed = store.keepAlive(held.lease)) {
            is Either.Left -> if (leaseState(held) == LeaseState.OVER) {
                endTerm(held, "store unreachable: ${renewed.value.reason}")
            }

            is Either.Right -> if (renewed.value) {
                held.renewedMillis = now
            } else {
                endTerm(
                    held,
                    "lease ended"
                )
            }
        }
    }

    /**
     * Ends the term of a closing election, unless the store gives no answer.
     *
     * A renewal shows whether it does, also where its loss has not been noticed before. The hand-over
     * itself can't be tried out: a successor may rely on what an unanswered one has recorded.
     */
    private fun endOrGoOn(held: HeldTerm) {
        val failure = store.keepAlive(held.lease).leftOrNull()
        when {
            failure == null -> endTerm(held, Ownership.SHUTDOWN)

            leaseState(held) == LeaseState.OVER ->
                endTerm(held, "store unreachable: ${failure.reason}")

            clock.nowMillis() >= closesByMillis -> endTerm(held, Ownership.SHUTDOWN_WITHOUT_STORE)

            !goesOn -> {
                goesOn = true
                log.add(
                    "owner-goes-on",
                    "set" to set,
                    "epoch" to held.term.epoch,
                    "limitMillis" to closesByMillis - clock.nowMillis(),
                    "reason" to failure.reason
                )
            }
        }
    }

    /** Ends the term unless another thread has ended it. */
    private fun endTerm(held: HeldTerm, reason: String) {
        synchronized(this) {
            if (heldTerm !== held) return
            heldTerm = null
        }
        log.add("owner-ended", "set" to set, "epoch" to held.term.epoch, "reason" to reason)
        listener.onEnd(reason)
        lastEndMillis = clock.nowMillis()
        activeEpoch = null
        if (reason == Ownership.SHUTDOWN_WITHOUT_STORE) return
        store.revokeLease(held.lease).onLeft {
            log.add("lease-not-ended", "step" to it.step, "peer" to it.peer, "reason" to it.reason)
        }
    }

    private fun claimIfFree() {
        val free = claimableKeyOrNull() ?: return
        val delay = claimDelay(free)
        Thread.sleep(Random.nextLong(MAX_CLAIM_JITTER_MILLIS) + delay.millis)
        val key = claimableKeyOrNull()
        if (key == null || !isOpen) return
        val startedMillis = clock.nowMillis()
        log.add(
            "owner-claims",
            "set" to set,
            "lastOwner" to (key.record ?: history.lastClaim)?.host,
            "lastEpoch" to lastEpoch,
            "isKeyHeld" to (key.record != null),
            "knownMillis" to startedMillis - key.seenMillis,
            "strongerHostMillis" to delay.strongerHostMillis,
            "uninformedMillis" to delay.uninformedMillis,
            "returningOwnerMillis" to delay.returningOwnerMillis
        )
        val claimed = store.grantLease(LEASE_TTL_MILLIS.milliseconds).flatMap { lease ->
            store.get(WorkflowKeys.epoch(set)).flatMap { claim(lease, key, it, startedMillis) }
        }
        when (claimed) {
            is Either.Left -> log.add(
                "claim-failed",
                "step" to claimed.value.step,
                "peer" to claimed.value.peer,
                "reason" to claimed.value.reason,
                "tookMillis" to clock.nowMillis() - startedMillis
            )

            is Either.Right -> beginTerm(claimed.value ?: return)
        }
    }

    /**
     * Returns how long this host leaves the claim of [free] to others.
     *
     * A host that has not seen when the owner wrote its last heartbeat would have to wait longer for
     * workers that don't answer. An owner that went on through an outage of the store knows best when
     * their leases end; a host that started in the outage leaves the claim to the standbys, too.
     * Nobody else can claim a key that names this host.
     */
    private fun claimDelay(free: OwnerKeyState): ClaimDelay {
        if (free.record != null) return ClaimDelay.NONE
        val isUninformed = history.isUninformed
        val mayOwnerReturn = history.hasJustAcknowledged && history.lastClaim?.host != host
        return ClaimDelay.from(
            hasStrongerHost(),
            isUninformed,
            mayOwnerReturn || (isUninformed && hasStartedInOutage)
        )
    }

    private fun beginTerm(held: HeldTerm) {
        val mayBegin = synchronized(this) {
            if (isOpen) {
                activeEpoch = held.term.epoch
                heldTerm = held
            }
            isOpen
        }
        if (!mayBegin) {
            log.add("owner-not-begun", "set" to set, "epoch" to held.term.epoch)
            store.revokeLease(held.lease)
            return
        }
        log.add(
            "owner-began",
            "set" to set,
            "epoch" to held.term.epoch,
            "claimMillis" to clock.nowMillis() - held.claimedMillis
        )
        try {
            listener.onBegin(held.term)
        } catch (e: RuntimeException) {
            // A term without a scheduler would keep other hosts from the set.
            log.add(
                "owner-failed",
                "step" to "begin-term",
                "set" to set,
                "epoch" to held.term.epoch,
                "reason" to e,
                "at" to e.stackTrace.firstOrNull()
            )
            endTerm(held, "the term could not begin")
        }
    }

    /** Returns the claimed term, or null if another host claimed it first. */
    private fun claim(
        lease: LeaseId,
        ownerKey: OwnerKeyState,
        lastEpoch: StoreEntry?,
        startedMillis: Long
    ): Either<StoreError, HeldTerm?> {
        // What an earlier owner has recorded since would be in conflict with this claim.
        val readMillis = clock.nowMillis()
        val epoch = (lastEpoch?.let { decodeRecordOrNull<EpochRecord>(it.value) }?.epoch ?: 0) + 1
        val ownerText = encodeRecord(OwnerRecord(host, epoch))
        val earlier = listOfNotNull(ownerKey.record, history.lastClaim).filter { it.host == host }
        val transaction = StoreTransaction(
            expected = mapOf(
                WorkflowKeys.owner(set) to ownerKey.version,
                WorkflowKeys.epoch(set) to (lastEpoch?.version ?: StoreEntry.ABSENT)
            ),
            puts = listOf(
                StorePut(WorkflowKeys.owner(set), ownerText, lease),
                StorePut(WorkflowKeys.owner(set, OwnerDetail.LAST_CLAIM), ownerText),
                StorePut(WorkflowKeys.epoch(set), encodeRecord(EpochRecord(epoch, 0)))
            )
        )
        return store.commit(transaction).map { result ->
            when (result) {
                is CommitResult.Applied ->
                    HeldTerm(
                        lease,
                        Term(
                            epoch,
                            result.revision,
                            history.sightings(
                                epoch,
                                readMillis,
                                ends = earlier.associate { it.epoch to lastEndMillis },
                                process
                            )
                        ),
                        startedMillis
                    )

                is CommitResult.Conflict, CommitResult.LeaseGone -> {
                    store.revokeLease(lease)
                    null
                }
            }
        }
    }

    /** Ends the current term at once, as [close] with a limit does. */
    override fun close() = close(0)

    /**
     * Ends the current term and deletes its lease, so that another host can claim at once. From now
     * on, no term begins.
     *
     * While the store gives no answer nobody could claim, so the term goes on until it does, but not
     * for longer than [limitMillis].
     */
    fun close(limitMillis: Long) {
        val isOwner = synchronized(this) {
            isOpen = false
            closesByMillis = clock.nowMillis() + limitMillis
            heldTerm != null
        }
        wakeUps += ""
        if (isOwner) awaitEnd(limitMillis)
        follower.close()
        thread.interrupt()
        thread.join(JOIN_TIMEOUT_MILLIS)
        heldTerm?.let { endTerm(it, Ownership.SHUTDOWN_WITHOUT_STORE) }
    }

    /** Waits for the election thread, which ends the term within [limitMillis] and its last call. */
    private fun awaitEnd(limitMillis: Long) {
        thread.join(limitMillis + LAST_CALL_MILLIS)
        if (heldTerm == null) thread.join(HAND_OVER_MILLIS)
    }

    private companion object {
        /** How long the store keeps the key of a silent owner; bounds the time without an owner. */
        const val LEASE_TTL_MILLIS = 2_000L

        /** Covers the time between reading the clock and acting on the result. */
        const val LEASE_MARGIN_MILLIS = 200L

        /** Four renewals may be lost before the lease expires. */
        const val RENEWAL_INTERVAL_MILLIS = 400L
        val ACTING_MILLIS = SchedulerSettings.actingMillis(LEASE_TTL_MILLIS) - LEASE_MARGIN_MILLIS

        /** A store that takes longer to list to a new process was away at its start. */
        const val USUAL_LISTING_MILLIS = 1_000L

        /** Spreads the claims of hosts that see the deletion of the key at the same moment. */
        const val MAX_CLAIM_JITTER_MILLIS = 40L

        const val JOIN_TIMEOUT_MILLIS = 500L

        /** How often a closing election looks whether the store answers again. */
        const val HAND_OVER_INTERVAL_MILLIS = 100L

        /** Longer than a call of the store without an answer takes. */
        const val LAST_CALL_MILLIS = 700L

        /** Longer than it takes to record a hand-over and to delete the lease. */
        const val HAND_OVER_MILLIS = 4_000L
    }
}
