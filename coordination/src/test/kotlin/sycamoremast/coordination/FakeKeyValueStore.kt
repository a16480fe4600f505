/** An in-memory key-value service whose faults a test chooses for each call. */
package sycamoremast.coordination

import arrow.core.Either
import kotlin.time.Duration

/** The fault that is injected into one call. */
enum class CallFault {
    NONE,

    /** The call has no effect, and the caller knows it. */
    NOT_SENT,

    /** The call has no effect, but the caller can't tell. */
    REQUEST_LOST,

    /** The call takes effect, but the caller can't tell. */
    ANSWER_LOST,

    /** The call takes effect only when the test releases it, but the caller can't tell. */
    DELAYED
}

/** Keeps entries in memory; [fault] maps the name of each call to its fault. */
class FakeKeyValueStore(
    private val clock: MonotonicClock = MonotonicClock { 0 },
    var fault: (call: String) -> CallFault = { CallFault.NONE }
) : KeyValueStore {
    private val entries = sortedMapOf<String, StoreEntry>()
    private val leaseOf = mutableMapOf<String, LeaseId>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private val watches = mutableListOf<Watch>()
    private val changes = mutableListOf<Change>()
    private val delayed = mutableListOf<() -> Unit>()
    private var revision = 0L
    private var lastLease = 0L

    /** The number of calls so far, by name. */
    val calls = mutableMapOf<String, Int>()

    @Synchronized
    override fun get(key: String) = call("get") {
        expireLeases()
        entries[key]
    }

    @Synchronized
    override fun list(prefix: String) = call("list") {
        expireLeases()
        StoreListing(entries.values.filter { it.key.startsWith(prefix) }, revision)
    }

    @Synchronized
    override fun compareAndSwap(key: String, expected: Long, value: String, lease: LeaseId?) =
        call("compareAndSwap") {
            expireLeases()
            applyIfVersion(key, expected) { put(key, value, lease) }
        }

    @Synchronized
    override fun compareAndDelete(key: String, expected: Long) = call("compareAndDelete") {
        expireLeases()
        applyIfVersion(key, expected) { remove(key) }
    }

    @Synchronized
    override fun grantLease(ttl: Duration) = call("grantLease") {
        val millis = ttl.inWholeMilliseconds
        LeaseId(++lastLease).also { leases[it] = Lease(millis, clock.nowMillis() + millis) }
    }

    @Synchronized
    override fun keepAlive(lease: LeaseId) = call("keepAlive") {
        expireLeases()
        leases[lease]?.let { it.endMillis = clock.nowMillis() + it.ttlMillis } != null
    }

    @Synchronized
    override fun revokeLease(lease: LeaseId) = call("revokeLease") {
        leases.remove(lease)
        leaseOf.filterValues { it == lease }.keys.toList().forEach(::remove)
    }

    @Synchronized
    override fun watch(prefix: String, fromRevision: Long, listener: WatchListener): AutoCloseable {
        val watch = Watch(prefix, listener)
        when (call("watch") { watches += watch }) {
            is Either.Left -> listener.onEnd(StoreError.NotSent("watch", PEER, "fault"))
            is Either.Right -> changes.filter { it.revision >= fromRevision }.forEach(watch::emit)
        }
        return AutoCloseable { synchronized(this) { watches.remove(watch) } }
    }

    /** Lets the delayed calls take effect if their conditions still hold. */
    @Synchronized
    fun releaseDelayed() {
        delayed.forEach { it() }
        delayed.clear()
    }

    /** Ends all watches. */
    @Synchronized
    fun endWatches() {
        val ended = watches.toList()
        watches.clear()
        ended.forEach { it.listener.onEnd(null) }
    }

    /** Returns the entry at [key] without counting a call. */
    @Synchronized
    fun peek(key: String): StoreEntry? = entries[key]

    /** Writes [value] at [key] as another client would. */
    @Synchronized
    fun putFromOtherClient(key: String, value: String) {
        put(key, value, null)
    }

    private fun <T> call(name: String, effect: () -> T): Either<StoreError, T> {
        calls.merge(name, 1, Int::plus)
        return when (fault(name)) {
            CallFault.NONE -> Either.Right(effect())

            CallFault.NOT_SENT -> Either.Left(StoreError.NotSent(name, PEER, "fault"))

            CallFault.REQUEST_LOST -> Either.Left(StoreError.AnswerLost(name, PEER, "fault"))

            CallFault.ANSWER_LOST -> {
                effect()
                Either.Left(StoreError.AnswerLost(name, PEER, "fault"))
            }

            CallFault.DELAYED -> {
                delayed += { effect() }
                Either.Left(StoreError.AnswerLost(name, PEER, "fault"))
            }
        }
    }

    private fun applyIfVersion(key: String, expected: Long, write: () -> Unit): SwapOutcome {
        val current = entries[key]
        if ((current?.version ?: StoreEntry.ABSENT) != expected) {
            return SwapOutcome.Conflict(current)
        }
        write()
        return SwapOutcome.Applied(revision)
    }

    private fun put(key: String, value: String, lease: LeaseId?) {
        entries[key] = StoreEntry(key, value, ++revision)
        if (lease == null) leaseOf.remove(key) else leaseOf[key] = lease
        notifyWatches(Change(key, value, revision))
    }

    private fun remove(key: String) {
        entries.remove(key)
        leaseOf.remove(key)
        notifyWatches(Change(key, null, ++revision))
    }

    private fun notifyWatches(change: Change) {
        changes += change
        watches.toList().forEach { it.emit(change) }
    }

    private fun expireLeases() {
        val lapsed = leases.filterValues { it.endMillis <= clock.nowMillis() }.keys.toList()
        lapsed.forEach { lease ->
            leases.remove(lease)
            leaseOf.filterValues { it == lease }.keys.toList().forEach(::remove)
        }
    }

    private class Lease(val ttlMillis: Long, var endMillis: Long)

    private class Change(val key: String, val value: String?, val revision: Long)

    private class Watch(val prefix: String, val listener: WatchListener) {
        fun emit(change: Change) {
            if (!change.key.startsWith(prefix)) return
            listener.onChange(change.key, change.value, change.revision)
        }
    }

    private companion object {
        const val PEER = "fake"
    }
}
