/**
 * Registers this entry host in the store and tracks the registered hosts.
 *
 * An entry holds the address for peers and the strength of its host. Each host keeps its own entry
 * under a lease and watches those of the others. An expired entry shows only that its host didn't
 * reach the store: whether a host is up is shown by the connections to it.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.flatMap
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.daemon.log.EventLog

/**
 * The entry of a host that listens for peers at [peerAddress]; [strength] is in cores, [process] the
 * ID of its process.
 */
@Serializable
internal data class HostRecord(
    val peerAddress: String,
    val availabilityZone: String,
    val strength: Double,
    val process: String = ""
)

/**
 * Keeps host [name] registered, and calls [onRenewalAttempt] after each attempt to renew its entry.
 */
internal class HostRegistry(
    private val store: TransactionalStore,
    private val name: String,
    private val ownRecord: HostRecord,
    private val log: EventLog,
    private val onRenewalAttempt: () -> Unit
) : PrefixListener,
    AutoCloseable {
    // Entries change rarely, and a late update does little harm, so that the watch may wait long.
    private val follower =
        PrefixFollower(store, WorkflowKeys.HOSTS, log, this, WorkflowHost.MAX_WATCH_WAIT)
    private val thread = Thread(::run, "host-registry").apply { isDaemon = true }

    /** The lease of this host's entry, or null while there is none. */
    @Volatile
    private var lease: LeaseId? = null

    @Volatile
    private var isOpen = true

    /** All registered hosts by name. */
    @Volatile
    var hosts: Map<String, HostRecord> = emptyMap()
        private set

    /** Whether another host is much stronger than this one. */
    val hasStrongerHost: Boolean
        get() = hosts.any { (host, record) ->
            host != name && record.strength >= ownRecord.strength * MIN_STRENGTH_RATIO
        }

    fun start() = apply {
        follower.start()
        thread.start()
    }

    override fun onListing(listing: StoreListing) {
        hosts = listing.entries.mapNotNull { entry ->
            recordOrNull(entry.value)?.let { entry.key.lastSegment() to it }
        }.toMap()
        if (name !in hosts) lease = null
    }

    override fun onChange(change: StoreChange) {
        val host = change.key.lastSegment()
        val record = change.value?.let(::recordOrNull)
        hosts = if (record == null) hosts - host else hosts + (host to record)
        // A delayed write of an earlier process may have put the entry under a lease that nobody
        // renews; the entry then disappears with that lease.
        if (host == name && record == null) lease = null
    }

    private fun recordOrNull(text: String) = decodeRecordOrNull<HostRecord>(text)

    private fun run() {
        while (isOpen) {
            try {
                renew().onLeft {
                    log.add("host-not-registered", "step" to it.step, "reason" to it.reason)
                }
                onRenewalAttempt()
                Thread.sleep(RENEWAL_INTERVAL_MILLIS)
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("host-registry-error", "error" to e)
                Thread.sleep(RENEWAL_INTERVAL_MILLIS)
            }
        }
    }

    private fun renew(): Either<StoreError, Unit> {
        val held = lease ?: return register()
        return store.keepAlive(held).flatMap { if (it) Either.Right(Unit) else register() }
    }

    private fun register(): Either<StoreError, Unit> {
        val key = WorkflowKeys.host(name)
        return store.grantLease(LEASE_TTL_MILLIS.milliseconds).flatMap { granted ->
            val put = StorePut(key, encodeRecord(ownRecord), granted)
            store.commit(StoreTransaction(emptyMap(), listOf(put))).map { result ->
                lease = granted.takeIf { result is CommitResult.Applied }
                log.add("host-registered", "host" to name, "strength" to ownRecord.strength)
            }
        }
    }

    /**
     * Deletes this host's entry and follows the others' no more, so that an owner which comes later
     * doesn't count on this process.
     */
    fun leave() {
        close()
        thread.join(JOIN_TIMEOUT_MILLIS)
        val held = lease ?: return
        store.revokeLease(held).onLeft {
            log.add("host-not-removed", "step" to it.step, "reason" to it.reason)
        }
    }

    override fun close() {
        isOpen = false
        thread.interrupt()
        follower.close()
    }

    private companion object {
        /** Three renewals may be lost before the entry expires. */
        const val LEASE_TTL_MILLIS = 8_000L
        const val RENEWAL_INTERVAL_MILLIS = 2_000L

        /** Longer than an interrupted call takes to end. */
        const val JOIN_TIMEOUT_MILLIS = 100L

        /** Smaller differences in strength don't justify a change of the owner. */
        const val MIN_STRENGTH_RATIO = 1.5
    }
}
