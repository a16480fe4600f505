/**
 * The relay of an availability zone: one host that watches the configuration for all hosts there.
 *
 * A host that receives no heartbeat from a relay of its zone starts to watch. Of the relays that
 * receive heartbeats from one another, all but one stop: the one with the newest relay key in the
 * key-value service remains or, if none has a key, the first by name. Two simultaneous relays cost
 * additional calls but do no harm, so a takeover does not wait for the lease of a frozen or
 * partitioned relay to expire.
 */
package sycamoremast.daemon.control

import arrow.core.Either
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.WatchListener
import sycamoremast.coordination.membership.HostProcess
import sycamoremast.coordination.store.Backoff
import sycamoremast.daemon.log.event
import sycamoremast.daemon.peer.Heartbeat

/**
 * The intervals of a relay.
 *
 * A relay counts as silent once its last heartbeat is older than [silenceTimeout]; another host
 * takes over after a further delay of half to all of that time.
 *
 * A watch is reopened from the last seen revision every [watchRenewalInterval], which bounds the
 * delay caused by a watch that has silently stopped. In case the service itself withholds changes
 * from watches, all documents are read again after [rereadInterval], or later if they are so large
 * that reading them would exceed [REREAD_BYTES_PER_SECOND]. A host fetches newer documents from
 * other hosts if they have not arrived through the relay within [catchUpDelay].
 */
data class RelayTimes(
    val silenceTimeout: Duration = 2.seconds,
    val watchRenewalInterval: Duration = 3.seconds,
    val hostRefreshInterval: Duration = 3.seconds,
    val keyRefreshInterval: Duration = 10.seconds,
    val rereadInterval: Duration = 30.seconds,
    val catchUpDelay: Duration = 900.milliseconds,
    val retry: Backoff = Backoff(500.milliseconds, 5.seconds)
) {
    /** Returns the delay before documents of [bytes] in total are read again. */
    internal fun rereadDelayMillis(bytes: Long): Long = maxOf(
        rereadInterval.inWholeMilliseconds,
        bytes * MILLIS_PER_SECOND / REREAD_BYTES_PER_SECOND
    )

    companion object {
        /** The maximum average rate at which a relay reads all documents again. */
        const val REREAD_BYTES_PER_SECOND = 500L

        private const val MILLIS_PER_SECOND = 1_000L
    }
}

/** Decides in each [step] whether this host is a relay of its zone, and keeps its watch open. */
internal class ZoneRelay(
    private val context: ControlContext,
    private val replica: ConfigurationReplica,
    private val membership: Membership,
    private val times: RelayTimes
) : AutoCloseable {
    private val otherRelays = ConcurrentHashMap<String, OtherRelay>()
    private val takeoverDelayMillis = jitteredTakeoverDelay()
    private var watch: RunningWatch? = null

    /** When this host first found no relay with priority over it, or null if there is one. */
    private var silentSinceMillis: Long? = null
    private var nextAttemptAtMillis = Long.MIN_VALUE
    private var nextRefreshAtMillis = Long.MIN_VALUE
    private var nextKeyAttemptAtMillis = Long.MIN_VALUE
    private var rereadAtMillis = Long.MAX_VALUE
    private var failures = 0

    /** The version of this host's relay key, or 0 if it holds none. */
    @Volatile
    var keyVersion = 0L
        private set

    /** Whether this host is a relay that receives changes from the service as they are made. */
    @Volatile
    var isWatching = false
        private set

    /** Records a heartbeat from another host. */
    fun recordHeartbeat(process: HostProcess, heartbeat: Heartbeat) {
        if (process.availabilityZone != context.availabilityZone) return
        if (heartbeat.watching) {
            otherRelays[process.host] =
                OtherRelay(process.host, heartbeat.relayVersion, context.nowMillis())
        } else {
            otherRelays.remove(process.host)
        }
    }

    /** Starts, maintains or stops the watch, depending on the heartbeats of the other hosts. */
    fun step() {
        val now = context.nowMillis()
        if (!evaluateNeed(now)) {
            stop()
            return
        }
        if (now < nextAttemptAtMillis) return
        val running = watch
        when {
            running == null || running.hasFailed -> startWatch(now)
            now >= running.renewAtMillis -> renewWatch(running, now)
        }
        if (isWatching) runPeriodicTasks(now)
    }

    override fun close() = stop()

    /**
     * Returns whether this host has to be a relay, and tracks since when no other one is heard.
     *
     * A relay remains one until another has priority. Any other host becomes one once it has heard
     * no relay for its takeover delay.
     */
    private fun evaluateNeed(now: Long): Boolean {
        val silentMillis = times.silenceTimeout.inWholeMilliseconds
        val recent = otherRelays.values.filter { now - it.heardAtMillis < silentMillis }
        if (recent.any { it.hasPriorityOver(keyVersion, context.host, isWatching) }) {
            silentSinceMillis = null
            return false
        }
        if (isWatching) return true
        val since = silentSinceMillis ?: now.also { silentSinceMillis = it }
        return now - since >= takeoverDelayMillis
    }

    private fun startWatch(now: Long) {
        watch?.close()
        watch = null
        when (val listing = replica.readAll()) {
            is Either.Left -> recordFailure(now)

            is Either.Right -> {
                failures = 0
                scheduleReread(listing.value, now)
                openWatch(listing.value.revision + 1, now)
                becomeRelay()
            }
        }
    }

    private fun renewWatch(old: RunningWatch, now: Long) {
        openWatch(old.nextRevision, now)
        old.close()
    }

    private fun openWatch(fromRevision: Long, now: Long) {
        val running =
            RunningWatch(fromRevision, now + times.watchRenewalInterval.inWholeMilliseconds)
        watch = running
        running.handle = context.budgetedStore.watch(ControlKeys.TEAMS, fromRevision, running)
    }

    private fun becomeRelay() {
        if (isWatching) return
        isWatching = true
        context.count("relays.begun")
        Logger.info { event("relay-begun", "zone" to context.availabilityZone) }
        membership.expediteHeartbeat()
    }

    private fun recordFailure(now: Long) {
        val wasWatching = isWatching
        isWatching = false
        failures++
        nextAttemptAtMillis = now + times.retry.delayMillis(failures, context.timing.random)
        if (wasWatching) membership.expediteHeartbeat()
    }

    /** Refreshes the registrations, all documents and the relay key when each of them is due. */
    private fun runPeriodicTasks(now: Long) {
        if (now >= nextRefreshAtMillis) {
            nextRefreshAtMillis = now + times.hostRefreshInterval.inWholeMilliseconds
            if (!membership.refreshRegistrations()) {
                watch?.hasFailed = true
                recordFailure(now)
                return
            }
        }
        if (now >= rereadAtMillis) {
            rereadAtMillis = now + times.rereadInterval.inWholeMilliseconds
            replica.readAll().onRight { scheduleReread(it, now) }
        }
        if (now >= nextKeyAttemptAtMillis) {
            nextKeyAttemptAtMillis = now + times.keyRefreshInterval.inWholeMilliseconds
            claimKey()
        }
    }

    private fun scheduleReread(listing: StoreListing, now: Long) {
        val bytes = listing.entries.sumOf { it.value.length.toLong() }
        rereadAtMillis = now + times.rereadDelayMillis(bytes)
    }

    /** Claims the relay key for this host, unless it already holds the key. */
    private fun claimKey() {
        val lease = membership.lease ?: return
        val key = ControlKeys.relay(context.availabilityZone)
        val current = context.budgetedStore.get(key).getOrNull()
        if (current != null && current.version == keyVersion) return
        val expected = current?.version ?: StoreEntry.ABSENT
        val swapped = context.budgetedStore.compareAndSwap(key, expected, context.host, lease)
        val version = (swapped.getOrNull() as? SwapOutcome.Applied)?.version ?: 0
        if (version != keyVersion) membership.expediteHeartbeat()
        keyVersion = version
    }

    private fun stop() {
        watch?.close()
        watch = null
        keyVersion = 0
        if (!isWatching) return
        isWatching = false
        Logger.info { event("relay-ended", "zone" to context.availabilityZone) }
    }

    /** Returns the delay before a takeover, jittered so that hosts don't all start at once. */
    private fun jitteredTakeoverDelay(): Long {
        val half = times.silenceTimeout.inWholeMilliseconds / 2
        return half + context.timing.random.nextLong(half + 1)
    }

    /** An open watch, and the revision from which its successor continues. */
    private inner class RunningWatch(fromRevision: Long, val renewAtMillis: Long) : WatchListener {
        @Volatile
        var nextRevision = fromRevision
            private set

        @Volatile
        var hasFailed = false

        @Volatile
        var handle: AutoCloseable? = null

        override fun onChange(key: String, value: String?, revision: Long) {
            if (value != null) {
                replica.offerStored(key, value, "watch")
                replica.pushNewest(ControlKeys.teamOf(key))
            }
            nextRevision = maxOf(nextRevision, revision + 1)
        }

        override fun onEnd(error: StoreError?) {
            if (watch === this) hasFailed = true
        }

        fun close() {
            handle?.close()
        }
    }

    private class OtherRelay(val host: String, val version: Long, val heardAtMillis: Long) {
        /** Returns whether [ownHost] must yield to this relay; a host that does not watch must. */
        fun hasPriorityOver(ownVersion: Long, ownHost: String, isOwnWatching: Boolean) = when {
            !isOwnWatching -> true
            version != ownVersion -> version > ownVersion
            else -> host < ownHost
        }
    }
}
