/**
 * Decides which host owns a worker set.
 *
 * The owner's key lies under a lease that the owner renews. Every other host follows the key and,
 * once it is gone, claims it in one transaction that also raises the epoch. An owner that can't reach
 * the store goes on past its lease for a bounded time: workers refuse it as soon as another owner
 * has reached them.
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
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.daemon.log.EventLog

/** A term of ownership: its [epoch] and the revision at which the epoch's key was written. */
internal data class Term(val epoch: Long, val epochRevision: Long, val claimedMillis: Long)

/** What stands at the owner's key at [version]; a null [record] names nobody. */
private class SeenOwner(val record: OwnerRecord?, val version: Long)

/** Is told when this host's ownership begins and ends, on the election's thread. */
internal interface TermListener {
    fun onBegin(term: Term)

    fun onEnd(reason: String)
}

/** Stands for [host] in the election of the owner of worker set [set]. */
internal class Election(
    private val store: TransactionalStore,
    private val host: String,
    private val set: Int,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val listener: TermListener,
    private val isStrongerKnown: () -> Boolean = { false }
) : PrefixListener,
    AutoCloseable {
    private class Holding(val lease: LeaseId, val term: Term, @Volatile var renewedMillis: Long)

    private val wakeUps = LinkedBlockingQueue<String>()
    private val follower = PrefixFollower(store, WorkflowKeys.owner(set), log, this)
    private val thread = Thread(::run, "election").apply { isDaemon = true }

    @Volatile
    private var holding: Holding? = null

    /** Whether this host's lease certainly stands in the store, measured from its last renewal. */
    val isLeaseValid: Boolean
        get() {
            val held = holding ?: return false
            return clock.nowMillis() < held.renewedMillis + TTL_MILLIS - LEASE_MARGIN_MILLIS
        }

    /** The owner's key as it stands in the store, or null before that is known. */
    @Volatile
    private var seen: SeenOwner? = null

    @Volatile
    private var isOpen = true

    fun start() = apply {
        follower.start()
        thread.start()
    }

    override fun onListing(listing: StoreListing) {
        val entry = listing.entries.find { it.key == WorkflowKeys.owner(set) }
        ownerIs(entry?.value, entry?.version)
    }

    override fun onChange(change: StoreChange) {
        if (change.key == WorkflowKeys.owner(set)) ownerIs(change.value, change.revision)
    }

    private fun ownerIs(value: String?, version: Long?) {
        val record = value?.let { decodeRecordOrNull<OwnerRecord>(it) }
        seen = SeenOwner(record, version?.takeIf { value != null } ?: StoreEntry.ABSENT)
        wakeUps += ""
    }

    /** Ends the term that the scheduler can't go on with. */
    fun depose(reason: String) {
        wakeUps += reason
    }

    private fun run() {
        while (isOpen) {
            try {
                step(wakeUps.poll(RENEWAL_MILLIS, MILLISECONDS).orEmpty())
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("election-error", "error" to e)
            }
        }
    }

    private fun step(deposeReason: String) {
        val held = holding
        when {
            held != null && deposeReason.isNotEmpty() -> end(held, deposeReason)
            held != null -> renew(held)
            else -> claim()
        }
    }

    /**
     * Returns the key's version if nobody owns the set, or null.
     *
     * Only one process runs on a host: one that finds its host's name knows that the other ended.
     */
    private fun freeVersionOrNull(): Long? = seen
        ?.takeIf { it.record == null || it.record.host == host }?.version

    private fun renew(held: Holding) {
        val now = clock.nowMillis()
        if (now < held.renewedMillis + RENEWAL_MILLIS) return
        when (val kept = store.keepAlive(held.lease)) {
            is Either.Left -> if (now > held.renewedMillis + TTL_MILLIS + PAST_LEASE_MILLIS) {
                end(held, "store unreachable: ${kept.value.reason}")
            }

            is Either.Right -> if (kept.value) {
                held.renewedMillis = now
            } else {
                end(
                    held,
                    "lease ended"
                )
            }
        }
    }

    private fun end(held: Holding, reason: String) {
        holding = null
        log.add("owner-ended", "set" to set, "epoch" to held.term.epoch, "reason" to reason)
        listener.onEnd(reason)
        store.revokeLease(held.lease).onLeft {
            log.add("lease-not-ended", "step" to it.step, "peer" to it.peer, "reason" to it.reason)
        }
    }

    private fun claim() {
        if (freeVersionOrNull() == null) return
        val isWeak = isStrongerKnown()
        Thread.sleep(Random.nextLong(CLAIM_SPREAD_MILLIS) + if (isWeak) WEAK_CLAIM_MILLIS else 0)
        val free = freeVersionOrNull()
        if (free == null || !isOpen) return
        val began = clock.nowMillis()
        val claimed = store.grantLease(TTL_MILLIS.milliseconds).flatMap { lease ->
            store.get(WorkflowKeys.epoch(set)).flatMap { claim(lease, free, it, began) }
        }
        when (claimed) {
            is Either.Left -> log.add(
                "claim-failed",
                "step" to claimed.value.step,
                "peer" to claimed.value.peer,
                "reason" to claimed.value.reason
            )

            is Either.Right -> begin(claimed.value ?: return)
        }
    }

    private fun begin(held: Holding) {
        holding = held
        log.add("owner-began", "set" to set, "epoch" to held.term.epoch)
        listener.onBegin(held.term)
    }

    /** Returns the claimed term, or null where another host was faster. */
    private fun claim(
        lease: LeaseId,
        freeVersion: Long,
        last: StoreEntry?,
        beganMillis: Long
    ): Either<StoreError, Holding?> {
        val epoch = (last?.let { decodeRecordOrNull<EpochRecord>(it.value) }?.epoch ?: 0) + 1
        val ownerText = encodeRecord(OwnerRecord(host, epoch))
        val transaction = StoreTransaction(
            expected = mapOf(
                WorkflowKeys.owner(set) to freeVersion,
                WorkflowKeys.epoch(set) to (last?.version ?: StoreEntry.ABSENT)
            ),
            puts = listOf(
                StorePut(WorkflowKeys.owner(set), ownerText, lease),
                StorePut(WorkflowKeys.epoch(set), encodeRecord(EpochRecord(epoch, 0)))
            )
        )
        return store.commit(transaction).map { result ->
            when (result) {
                is CommitResult.Applied ->
                    Holding(lease, Term(epoch, result.revision, beganMillis), beganMillis)

                is CommitResult.Conflict, CommitResult.LeaseGone -> {
                    store.revokeLease(lease)
                    null
                }
            }
        }
    }

    /** Gives ownership up, so that another host can take it at once. */
    override fun close() {
        isOpen = false
        follower.close()
        thread.interrupt()
        thread.join(JOIN_MILLIS)
        holding?.let { end(it, Ownership.SHUTDOWN) }
    }

    private companion object {
        /** How long the store keeps a silent owner; bounds how long nobody schedules. */
        const val TTL_MILLIS = 2_000L

        /** Covers the time between a look at the clock and what is done by it. */
        const val LEASE_MARGIN_MILLIS = 200L

        /** Four renewals may be lost before the lease ends. */
        const val RENEWAL_MILLIS = 400L
        const val PAST_LEASE_MILLIS = SchedulerSettings.PAST_LEASE_MILLIS

        /** Spreads the claims of the hosts that see the key go at the same moment. */
        const val CLAIM_SPREAD_MILLIS = 40L

        /** Lets stronger hosts claim first; short beside the time that a weak owner would lose. */
        const val WEAK_CLAIM_MILLIS = 600L
        const val JOIN_MILLIS = 500L
    }
}
