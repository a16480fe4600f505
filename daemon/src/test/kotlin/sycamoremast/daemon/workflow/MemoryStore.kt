package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreChanges
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StorePage
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore

/** An in-memory transactional store that can lose answers, reject calls and drop its history. */
internal class MemoryStore : TransactionalStore {
    /** A fault of a commit. */
    enum class Fault {
        /** The call fails with certainty that it was not sent. */
        NOT_SENT,

        /** The request is lost, and so the caller gets no answer. */
        REQUEST_LOST,

        /** The transaction is applied, but its answer is lost. */
        ANSWER_LOST,

        /** The caller gets no answer; the transaction is applied by [applyDelayed]. */
        DELAYED
    }

    val entries = sortedMapOf<String, StoreEntry>()
    val history = ArrayList<StoreChange>()
    val delayed = ArrayList<StoreTransaction>()
    var commits = 0
    private val leaseByKey = HashMap<String, LeaseId>()
    private val leases = HashSet<LeaseId>()
    private var revision = 10L
    private var compactedRevision = 0L
    private val commitFaults = ArrayDeque<Fault?>()
    var isDown = false

    /** The most entries of a transaction; one with more is never applied. */
    var maxTransactionEntries = Int.MAX_VALUE

    /** The most entries of a page. */
    var pageEntries = 500

    /** Injects [faults] into the next commits, one each. */
    @Synchronized
    fun failCommits(vararg faults: Fault) = failCommits(faults.asList())

    /** Injects [faults] into the next commits; null stands for a commit without a fault. */
    @Synchronized
    fun failCommits(faults: List<Fault?>) {
        commitFaults += faults
    }

    @Synchronized
    override fun get(key: String, mayBeStale: Boolean): Either<StoreError, StoreEntry?> =
        if (isDown) notSent() else entries[key].right()

    @Synchronized
    override fun page(
        prefix: String,
        after: String,
        mayBeStale: Boolean
    ): Either<StoreError, StorePage> {
        if (isDown) return notSent()
        val rest = entries.tailMap(maxOf(prefix, after)).values.asSequence()
            .takeWhile { it.key.startsWith(prefix) }.filter { it.key > after }
        val page = rest.take(pageEntries + 1).toList()
        return StorePage(page.take(pageEntries), revision, page.size > pageEntries).right()
    }

    override fun changes(
        prefix: String,
        revision: Long,
        wait: Duration
    ): Either<StoreError, StoreChanges> {
        val until = System.nanoTime() + wait.inWholeNanoseconds
        while (true) {
            synchronized(this) {
                if (isDown) return notSent()
                if (revision < compactedRevision) return StoreChanges.HistoryGone.right()
                val seen = history.filter { it.revision > revision && it.key.startsWith(prefix) }
                if (seen.isNotEmpty() || System.nanoTime() > until) {
                    return StoreChanges.Seen(seen, this.revision).right()
                }
            }
            Thread.sleep(1)
        }
    }

    @Synchronized
    override fun commit(transaction: StoreTransaction): Either<StoreError, CommitResult> {
        commits++
        if (isDown) return notSent()
        val entries = transaction.expected.size + transaction.puts.size + transaction.deletes.size
        if (entries > maxTransactionEntries) return answerLost()
        return when (commitFaults.removeFirstOrNull()) {
            null -> apply(transaction).right()

            Fault.NOT_SENT -> notSent()

            Fault.REQUEST_LOST -> answerLost()

            Fault.ANSWER_LOST -> {
                apply(transaction)
                answerLost()
            }

            Fault.DELAYED -> {
                delayed += transaction
                answerLost()
            }
        }
    }

    /** Applies the delayed transactions. */
    @Synchronized
    fun applyDelayed(): List<CommitResult> = delayed.map(::apply).also { delayed.clear() }

    @Synchronized
    fun apply(transaction: StoreTransaction): CommitResult {
        val current = transaction.expected.keys.mapNotNull(entries::get).associateBy { it.key }
        val isMet = transaction.expected.all { (key, at) -> (entries[key]?.version ?: 0) == at }
        if (!isMet) return CommitResult.Conflict(current)
        if (transaction.puts.any { it.lease != null && it.lease !in leases }) {
            return CommitResult.LeaseGone
        }
        revision++
        for (put in transaction.puts) {
            entries[put.key] = StoreEntry(put.key, put.value, revision)
            history += StoreChange(put.key, put.value, revision)
            put.lease?.let { leaseByKey[put.key] = it }
        }
        transaction.deletes.forEach(::delete)
        return CommitResult.Applied(revision)
    }

    private fun delete(key: String) {
        if (entries.remove(key) == null) return
        history += StoreChange(key, null, revision)
    }

    @Synchronized
    fun dropHistory() {
        history.clear()
        compactedRevision = revision + 1
        revision += 2
    }

    @Synchronized
    override fun grantLease(ttl: Duration): Either<StoreError, LeaseId> =
        if (isDown) notSent() else LeaseId(++revision).also { leases += it }.right()

    @Synchronized
    override fun keepAlive(lease: LeaseId): Either<StoreError, Boolean> =
        if (isDown) notSent() else (lease in leases).right()

    @Synchronized
    override fun revokeLease(lease: LeaseId): Either<StoreError, Unit> {
        if (isDown) return notSent()
        leases -= lease
        revision++
        leaseByKey.filterValues { it == lease }.keys.toList().forEach {
            leaseByKey -= it
            delete(it)
        }
        return Unit.right()
    }

    private fun notSent() = StoreError.NotSent("store", "memory", "refused").left()

    private fun answerLost() = StoreError.AnswerLost("store", "memory", "no answer").left()
}
