/** The key-value service's entries, leases and history, without any HTTP. */
package sycamoremast.standins

import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import sycamoremast.coordination.MonotonicClock

/** An in-memory store with revisions, leases and the full history of its changes. */
internal class KeyValueState(private val clock: MonotonicClock = MonotonicClock.system()) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val entries = TreeMap<String, WireEntry>()
    private val leases = mutableMapOf<Long, Lease>()
    private val history = mutableListOf<Change>()
    private var revision = 1L
    private var lastLease = 0L

    private class Lease(val ttlSeconds: Long, var endsAtMillis: Long)

    /** A change of one key at a [revision]. */
    internal data class Change(val revision: Long, val key: String, val event: WireEvent)

    fun range(request: RangeRequest): RangeResponse = lock.withLock { rangeLocked(request) }

    fun put(request: PutRequest): HeaderResponse? = lock.withLock {
        if (request.lease != 0L && request.lease !in leases) return null
        revision++
        putLocked(request)
        changed.signalAll()
        HeaderResponse(header())
    }

    fun delete(request: RangeRequest): DeleteResponse = lock.withLock {
        val keys = selected(request.key, request.rangeEnd).keys.toList()
        if (keys.isNotEmpty()) revision++
        keys.forEach(::deleteLocked)
        changed.signalAll()
        DeleteResponse(header(), keys.size.toLong())
    }

    /** Returns the outcome of [request], or null if a put names a lease that does not exist. */
    fun txn(request: TxnRequest): TxnResponse? = lock.withLock {
        val succeeded = request.compare.all(::holds)
        val operations = if (succeeded) request.success else request.failure
        val lost = operations.any { (it.put?.lease ?: 0L) != 0L && it.put?.lease !in leases }
        if (lost) return null
        val writes = operations.any {
            it.put != null || it.delete?.let { d -> selected(d.key, d.rangeEnd).any() } == true
        }
        if (writes) revision++
        val responses = operations.map(::perform)
        if (writes) changed.signalAll()
        TxnResponse(header(), succeeded, responses)
    }

    fun grant(ttlSeconds: Long): LeaseResponse = lock.withLock {
        val id = ++lastLease
        leases[id] = Lease(ttlSeconds, clock.nowMillis() + ttlSeconds * MILLIS_PER_SECOND)
        LeaseResponse(header(), id, ttlSeconds)
    }

    /** Returns the prolonged lease, or one with no time to live if it no longer exists. */
    fun keepAlive(id: Long): LeaseResponse = lock.withLock {
        val lease = leases[id] ?: return LeaseResponse(header(), id, 0)
        lease.endsAtMillis = clock.nowMillis() + lease.ttlSeconds * MILLIS_PER_SECOND
        LeaseResponse(header(), id, lease.ttlSeconds)
    }

    /** Returns false if the lease did not exist. */
    fun revoke(id: Long): Boolean = lock.withLock {
        leases.remove(id) ?: return false
        deleteLeased(setOf(id))
        true
    }

    /** Ends the leases whose time has passed, or [all] of them. */
    fun expireLeases(all: Boolean = false) = lock.withLock {
        val now = clock.nowMillis()
        val lapsed = leases.filterValues { all || it.endsAtMillis <= now }.keys.toSet()
        leases -= lapsed
        if (lapsed.isNotEmpty()) deleteLeased(lapsed)
    }

    fun currentRevision(): Long = lock.withLock { revision }

    /** Returns the changes of the selected keys from [fromRevision] on, waiting for the first. */
    fun awaitChanges(
        request: WatchCreate,
        fromRevision: Long,
        waitMillis: Long
    ): Pair<List<WireEvent>, Long> = lock.withLock {
        if (revision < fromRevision) changed.await(waitMillis, MILLISECONDS)
        val inRange = rangeOf(request.key, request.rangeEnd)
        val first = history.binarySearchBy(fromRevision) { it.revision }
            .let { if (it < 0) -it - 1 else firstOfRevision(it) }
        val seen = history.subList(first, history.size).filter { inRange(it.key) }
        seen.map { it.event } to revision
    }

    private fun firstOfRevision(index: Int): Int {
        var i = index
        while (i > 0 && history[i - 1].revision == history[index].revision) i--
        return i
    }

    private fun header() = WireHeader(revision)

    private fun perform(operation: Operation): OperationResponse {
        operation.range?.let { return OperationResponse(range = rangeLocked(it)) }
        operation.put?.let {
            putLocked(it)
            return OperationResponse(put = HeaderResponse(header()))
        }
        val delete = requireNotNull(operation.delete) { "empty operation" }
        val keys = selected(delete.key, delete.rangeEnd).keys.toList()
        keys.forEach(::deleteLocked)
        return OperationResponse(delete = DeleteResponse(header(), keys.size.toLong()))
    }

    private fun rangeLocked(request: RangeRequest): RangeResponse {
        val found = selected(request.key, request.rangeEnd).values.toList()
        return RangeResponse(header(), found, found.size.toLong())
    }

    private fun putLocked(request: PutRequest) {
        val key = decodeKey(request.key)
        val old = entries[key]
        val entry = WireEntry(
            key = request.key,
            createRevision = old?.createRevision ?: revision,
            modRevision = revision,
            version = (old?.version ?: 0) + 1,
            value = request.value,
            lease = request.lease
        )
        entries[key] = entry
        history += Change(revision, key, WireEvent("PUT", entry))
    }

    private fun deleteLocked(key: String) {
        val old = entries.remove(key) ?: return
        val gone = WireEntry(key = old.key, modRevision = revision)
        history += Change(revision, key, WireEvent("DELETE", gone))
    }

    private fun deleteLeased(ids: Set<Long>) {
        val keys = entries.filterValues { it.lease in ids }.keys.toList()
        if (keys.isNotEmpty()) revision++
        keys.forEach(::deleteLocked)
        changed.signalAll()
    }

    private fun holds(compare: Compare): Boolean {
        val entry = entries[decodeKey(compare.key)]
        require(compare.result == "EQUAL") { "unsupported comparison: ${compare.result}" }
        return when (compare.target) {
            CompareTarget.VERSION -> (entry?.version ?: 0) == compare.version
            CompareTarget.CREATE -> (entry?.createRevision ?: 0) == compare.createRevision
            CompareTarget.MOD -> (entry?.modRevision ?: 0) == compare.modRevision
        }
    }

    private fun selected(key: String, rangeEnd: String?): Map<String, WireEntry> {
        val first = decodeKey(key)
        if (rangeEnd == null) return entries[first]?.let { mapOf(first to it) }.orEmpty()
        return entries.subMap(first, true, decodeKey(rangeEnd), false).toMap()
    }

    private fun rangeOf(key: String, rangeEnd: String?): (String) -> Boolean {
        val first = decodeKey(key)
        val end = rangeEnd?.let(::decodeKey) ?: return { it == first }
        return { it >= first && it < end }
    }

    /** Returns the bytes of a key as one character each, which keeps their order. */
    private fun decodeKey(key: String) =
        String(Base64.getDecoder().decode(key), Charsets.ISO_8859_1)

    companion object {
        private const val MILLIS_PER_SECOND = 1000L
    }
}
