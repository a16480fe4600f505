/**
 * Which entry hosts there are, where their peers reach them and how strong they are.
 *
 * Each host keeps its own entry in the store under a lease and follows those of the others. An entry
 * that lapses says only that its host didn't reach the store: connections show who is there.
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

/** An entry host, reached by its peers at [peerAddress]; [strength] is in cores. */
@Serializable
internal data class HostRecord(
    val peerAddress: String,
    val availabilityZone: String,
    val strength: Double
)

/** Keeps the entry of host [name], and calls [onRound] after each renewal. */
internal class HostRegistry(
    private val store: TransactionalStore,
    private val name: String,
    private val own: HostRecord,
    private val log: EventLog,
    private val onRound: () -> Unit
) : PrefixListener,
    AutoCloseable {
    // Entries change rarely, and a late one costs little.
    private val follower =
        PrefixFollower(store, WorkflowKeys.HOSTS, log, this, WorkflowHost.LONGEST_STORE_WAIT)
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
    val isStrongerKnown: Boolean
        get() = hosts.any { (host, record) ->
            host != name && record.strength >= own.strength * MUCH_STRONGER
        }

    fun start() = apply {
        follower.start()
        thread.start()
    }

    override fun onListing(listing: StoreListing) {
        hosts = listing.entries.mapNotNull { entry ->
            recordOrNull(entry.value)?.let { WorkflowKeys.idOf(entry.key) to it }
        }.toMap()
        if (name !in hosts) lease = null
    }

    override fun onChange(change: StoreChange) {
        val host = WorkflowKeys.idOf(change.key)
        val record = change.value?.let(::recordOrNull)
        hosts = if (record == null) hosts - host else hosts + (host to record)
        // A late write of an earlier process may have put the entry under a lease nobody renews.
        if (host == name && record == null) lease = null
    }

    private fun recordOrNull(text: String) = decodeRecordOrNull<HostRecord>(text)

    private fun run() {
        while (isOpen) {
            try {
                renew().onLeft {
                    log.add("host-not-registered", "step" to it.step, "reason" to it.reason)
                }
                onRound()
                Thread.sleep(ROUND_MILLIS)
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("host-registry-error", "error" to e)
                Thread.sleep(ROUND_MILLIS)
            }
        }
    }

    private fun renew(): Either<StoreError, Unit> {
        val held = lease ?: return register()
        return store.keepAlive(held).flatMap { if (it) Either.Right(Unit) else register() }
    }

    private fun register(): Either<StoreError, Unit> {
        val key = WorkflowKeys.host(name)
        return store.grantLease(TTL_MILLIS.milliseconds).flatMap { granted ->
            val put = StorePut(key, encodeRecord(own), granted)
            store.commit(StoreTransaction(emptyMap(), listOf(put))).map { result ->
                lease = granted.takeIf { result is CommitResult.Applied }
                log.add("host-registered", "host" to name, "strength" to own.strength)
            }
        }
    }

    override fun close() {
        isOpen = false
        thread.interrupt()
        follower.close()
    }

    private companion object {
        /** Three renewals may be lost before the entry goes. */
        const val TTL_MILLIS = 8_000L
        const val ROUND_MILLIS = 2_000L

        /** Smaller differences aren't worth a change of the owner. */
        const val MUCH_STRONGER = 1.5
    }
}
