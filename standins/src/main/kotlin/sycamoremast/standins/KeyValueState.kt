/** The entries, leases and history of the key-value service, independent of HTTP. */
package sycamoremast.standins

import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import sycamoremast.coordination.MonotonicClock

/** An in-memory, thread-safe store with revisions, leases and the full history of its changes. */
internal class KeyValueState(private val clock: MonotonicClock = MonotonicClock.system()) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val entries = TreeMap<String, WireEntry>()
    private val leases = mutableMapOf<Long, Lease>()
    private val history = mutableListOf<Change>()
    private var revision = 1L
    private var lastLeaseId = 0L

    private class Lease(val ttlSeconds: Long, var expiryMillis: Long)

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
        val keys = entriesIn(request.key, request.rangeEnd).keys.toList()
        if (keys.isNotEmpty()) revision++
        keys.forEach(::deleteLocked)
        changed.signalAll()
        DeleteResponse(header(), keys.size.toLong())
    }

    /** Applies [request] and returns its outcome, or null if a put names an unknown lease. */
    fun txn(request: TxnRequest): TxnResponse? = lock.withLock {
        val succeeded = request.compare.all(::isSatisfied)
        val operations = if (succeeded) request.success else request.failure
        val lacksLease = operations.any { (it.put?.lease ?: 0L) != 0L && it.put?.lease !in leases }
        if (lacksLease) return null
        val hasWrites = operations.any {
            it.put != null || it.delete?.let { d -> entriesIn(d.key, d.rangeEnd).any() } == true
        }
        if (hasWrites) revision++
        val responses = operations.map(::perform)
        if (hasWrites) changed.signalAll()
        TxnResponse(header(), succeeded, responses)
    }

    fun grant(ttlSeconds: Long): LeaseResponse = lock.withLock {
        val id = ++lastLeaseId
        leases[id] = Lease(ttlSeconds, clock.nowMillis() + ttlSeconds * MILLIS_PER_SECOND)
        LeaseResponse(header(), id, ttlSeconds)
    }

    /** Renews the lease [id] and returns it, with a TTL of 0 if it does not exist. */
    fun keepAlive(id: Long): LeaseResponse = lock.withLock {
        val lease = leases[id] ?: return LeaseResponse(header(), id, 0)
        lease.expiryMillis = clock.nowMillis() + lease.ttlSeconds * MILLIS_PER_SECOND
        LeaseResponse(header(), id, lease.ttlSeconds)
    }

    /** Revokes the lease [id] and deletes its keys; returns false if the lease does not exist. */
    fun revoke(id: Long): Boolean = lock.withLock {
        leases.remove(id) ?: return false
        deleteKeysOf(setOf(id))
        true
    }

    /** Expires the leases past their time to live, or [all] leases, and deletes their keys. */
    fun expireLeases(all: Boolean = false) = lock.withLock {
        val now = clock.nowMillis()
        val expired = leases.filterValues { all || it.expiryMillis <= now }.keys.toSet()
        leases -= expired
        if (expired.isNotEmpty()) deleteKeysOf(expired)
    }

    fun currentRevision(): Long = lock.withLock { revision }

    /**
     * Returns the events on the keys of [request] from [fromRevision] on, and the current revision.
     *
     * If that revision is not reached yet, waits up to [waitMillis] for the next change.
     */
    fun awaitChanges(
        request: WatchCreate,
        fromRevision: Long,
        waitMillis: Long
    ): Pair<List<WireEvent>, Long> = lock.withLock {
        if (revision < fromRevision) changed.await(waitMillis, MILLISECONDS)
        val inRange = keyPredicate(request.key, request.rangeEnd)
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
        val keys = entriesIn(delete.key, delete.rangeEnd).keys.toList()
        keys.forEach(::deleteLocked)
        return OperationResponse(delete = DeleteResponse(header(), keys.size.toLong()))
    }

    private fun rangeLocked(request: RangeRequest): RangeResponse {
        val found = entriesIn(request.key, request.rangeEnd).values.toList()
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
        val tombstone = WireEntry(key = old.key, modRevision = revision)
        history += Change(revision, key, WireEvent("DELETE", tombstone))
    }

    private fun deleteKeysOf(ids: Set<Long>) {
        val keys = entries.filterValues { it.lease in ids }.keys.toList()
        if (keys.isNotEmpty()) revision++
        keys.forEach(::deleteLocked)
        changed.signalAll()
    }

    private fun isSatisfied(compare: Compare): Boolean {
        val entry = entries[decodeKey(compare.key)]
        require(compare.result == "EQUAL") { "unsupported comparison: ${compare.result}" }
        return when (compare.target) {
            CompareTarget.VERSION -> (entry?.version ?: 0) == compare.version
            CompareTarget.CREATE -> (entry?.createRevision ?: 0) == compare.createRevision
            CompareTarget.MOD -> (entry?.modRevision ?: 0) == compare.modRevision
        }
    }

    private fun entriesIn(key: String, rangeEnd: String?): Map<String, WireEntry> {
        val first = decodeKey(key)
        if (rangeEnd == null) return entries[first]?.let { mapOf(first to it) }.orEmpty()
        return entries.subMap(first, true, decodeKey(rangeEnd), false).toMap()
    }

    private fun keyPredicate(key: String, rangeEnd: String?): (String) -> Boolean {
        val first = decodeKey(key)
        val end = rangeEnd?.let(::decodeKey) ?: return { it == first }
        return { it >= first && it < end }
    }

    /** Returns a key with one character per byte, which preserves the byte order. */
    private fun decodeKey(key: String) =
        String(Base64.getDecoder().decode(key), Charsets.ISO_8859_1)

    companion object {
        private const val MILLIS_PER_SECOND = 1000L
    }
}
