/**
 * The watch on the configuration that one host keeps for its availability zone.
 *
 * Any host that hears no relay of its zone begins to watch, and of those that hear one another all
 * but one stop again: the one with the newest relay key in the key-value service, or, while none
 * has a key, the first by name. Two relays at a time cost calls but do no harm, so nothing waits
 * for the lease of a relay that is frozen or cut off.
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
 * A watch is renewed from the last revision seen every [renewWatch], so that one which has silently
 * stopped costs no more than that. In case the service itself holds back what watches would see, all
 * documents are read again after [readAgain], or later where they are so large that reading them
 * would exceed [READ_AGAIN_BYTES_PER_SECOND].
 */
data class RelayTimes(
    val silentAfter: Duration = 2.seconds,
    val renewWatch: Duration = 3.seconds,
    val refreshHosts: Duration = 3.seconds,
    val takeKeyAgain: Duration = 10.seconds,
    val readAgain: Duration = 30.seconds,
    val retry: Backoff = Backoff(500.milliseconds, 5.seconds)
) {
    /** Returns how long to wait before [bytes] of documents are read again. */
    internal fun readAgainMillis(bytes: Long): Long = maxOf(
        readAgain.inWholeMilliseconds,
        bytes * MILLIS_PER_SECOND / READ_AGAIN_BYTES_PER_SECOND
    )

    companion object {
        /** What reading all documents again may cost a relay on average. */
        const val READ_AGAIN_BYTES_PER_SECOND = 500L

        private const val MILLIS_PER_SECOND = 1_000L
    }
}

internal class ZoneRelay(
    private val context: ControlContext,
    private val replica: ConfigurationReplica,
    private val membership: Membership,
    private val times: RelayTimes
) : AutoCloseable {
    private val others = ConcurrentHashMap<String, OtherRelay>()
    private val patienceMillis = jitteredPatience()
    private var watch: RunningWatch? = null
    private var silentSinceMillis: Long? = null
    private var nextAttemptMillis = Long.MIN_VALUE
    private var nextRefreshMillis = Long.MIN_VALUE
    private var nextKeyAttemptMillis = Long.MIN_VALUE
    private var readAgainAtMillis = Long.MAX_VALUE
    private var failures = 0

    /** The version of this host's relay key, or 0 if it holds none. */
    @Volatile
    var keyVersion = 0L
        private set

    /** Whether this host sees the changes in the service as they are made. */
    @Volatile
    var isWatching = false
        private set

    /** Takes note of a heartbeat from another host. */
    fun heard(process: HostProcess, beat: Heartbeat) {
        if (process.availabilityZone != context.availabilityZone) return
        if (beat.watching) {
            others[process.host] =
                OtherRelay(process.host, beat.relayVersion, context.nowMillis())
        } else {
            others.remove(process.host)
        }
    }

    /** Watches, or stops to watch, as the other hosts require. */
    fun step() {
        val now = context.nowMillis()
        if (!isNeeded(now)) {
            stop()
            return
        }
        if (now < nextAttemptMillis) return
        val running = watch
        when {
            running == null || running.failed -> begin(now)
            now >= running.renewAtMillis -> renew(running, now)
        }
        if (isWatching) maintain(now)
    }

    override fun close() = stop()

    private fun isNeeded(now: Long): Boolean {
        val silentMillis = times.silentAfter.inWholeMilliseconds
        val heard = others.values.filter { now - it.heardAtMillis < silentMillis }
        if (heard.any { it.precedes(keyVersion, context.host, isWatching) }) {
            silentSinceMillis = null
            return false
        }
        if (isWatching) return true
        val since = silentSinceMillis ?: now.also { silentSinceMillis = it }
        return now - since >= patienceMillis
    }

    private fun begin(now: Long) {
        watch?.close()
        watch = null
        when (val listing = replica.readAll()) {
            is Either.Left -> failed(now)

            is Either.Right -> {
                failures = 0
                readAgainLater(listing.value, now)
                open(listing.value.revision + 1, now)
                becameRelay()
            }
        }
    }

    private fun renew(old: RunningWatch, now: Long) {
        open(old.nextRevision, now)
        old.close()
    }

    private fun open(fromRevision: Long, now: Long) {
        val running = RunningWatch(fromRevision, now + times.renewWatch.inWholeMilliseconds)
        watch = running
        running.handle = context.budgeted.watch(ControlKeys.TEAMS, fromRevision, running)
    }

    private fun becameRelay() {
        if (isWatching) return
        isWatching = true
        context.count("relays.begun")
        Logger.info { event("relay-begun", "zone" to context.availabilityZone) }
        membership.hurryHeartbeat()
    }

    private fun failed(now: Long) {
        val wasWatching = isWatching
        isWatching = false
        failures++
        nextAttemptMillis = now + times.retry.delayMillis(failures, context.timing.random)
        if (wasWatching) membership.hurryHeartbeat()
    }

    private fun maintain(now: Long) {
        if (now >= nextRefreshMillis) {
            nextRefreshMillis = now + times.refreshHosts.inWholeMilliseconds
            if (!membership.refreshRegistered()) {
                watch?.failed = true
                failed(now)
                return
            }
        }
        if (now >= readAgainAtMillis) {
            readAgainAtMillis = now + times.readAgain.inWholeMilliseconds
            replica.readAll().onRight { readAgainLater(it, now) }
        }
        if (now >= nextKeyAttemptMillis) {
            nextKeyAttemptMillis = now + times.takeKeyAgain.inWholeMilliseconds
            holdKey()
        }
    }

    private fun readAgainLater(listing: StoreListing, now: Long) {
        val bytes = listing.entries.sumOf { it.value.length.toLong() }
        readAgainAtMillis = now + times.readAgainMillis(bytes)
    }

    /** Takes the relay key, or confirms that it is still this host's. */
    private fun holdKey() {
        val lease = membership.lease ?: return
        val key = ControlKeys.relay(context.availabilityZone)
        val current = context.budgeted.get(key).getOrNull()
        if (current != null && current.version == keyVersion) return
        val expected = current?.version ?: StoreEntry.ABSENT
        val swapped = context.budgeted.compareAndSwap(key, expected, context.host, lease)
        val version = (swapped.getOrNull() as? SwapOutcome.Applied)?.version ?: 0
        if (version != keyVersion) membership.hurryHeartbeat()
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

    /** Returns how long to wait for another relay's first heartbeat, spread over the hosts. */
    private fun jitteredPatience(): Long {
        val half = times.silentAfter.inWholeMilliseconds / 2
        return half + context.timing.random.nextLong(half + 1)
    }

    /** A watch, from the revision after the last one seen on. */
    private inner class RunningWatch(fromRevision: Long, val renewAtMillis: Long) : WatchListener {
        @Volatile
        var nextRevision = fromRevision
            private set

        @Volatile
        var failed = false

        @Volatile
        var handle: AutoCloseable? = null

        override fun onChange(key: String, value: String?, revision: Long) {
            if (value != null) {
                val text = replica.offerStored(key, value, "watch")
                if (text != null) replica.pushToZone(listOf(text))
            }
            nextRevision = maxOf(nextRevision, revision + 1)
        }

        override fun onEnd(error: StoreError?) {
            if (watch === this) failed = true
        }

        fun close() {
            handle?.close()
        }
    }

    private class OtherRelay(val host: String, val version: Long, val heardAtMillis: Long) {
        /** Whether this relay goes before one with [ownVersion] on [ownHost]. */
        fun precedes(ownVersion: Long, ownHost: String, ownWatches: Boolean) = when {
            !ownWatches -> true
            version != ownVersion -> version > ownVersion
            else -> host < ownHost
        }
    }
}
