/**
 * Problem reports shared by all hosts through the key-value service.
 *
 * A problem is raised once, no matter how many hosts report it. It persists if the host that raised
 * it goes away, because any host may clear it. Reports wait in memory while the service is
 * unavailable. Clearing a problem that is not known to be open makes no call to the service; the
 * clear is kept in memory and applied if a later read shows the problem to be open after all.
 */
package sycamoremast.daemon.control

import arrow.core.Either
import arrow.core.right
import java.util.UUID
import java.util.concurrent.atomic.AtomicLong
import org.tinylog.kotlin.Logger
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.store.CommitOutcome
import sycamoremast.coordination.store.VersionedDocument
import sycamoremast.daemon.log.event

/** Raises and clears problems; [start] starts the loop that writes them to the service. */
class ProblemLog private constructor(private val context: ControlContext) :
    ProblemReporter,
    AutoCloseable {
    private val writer = context.writer(ControlKeys.PROBLEMS)
    private val processId = UUID.randomUUID().toString()
    private val lastReportNumber = AtomicLong()
    private val pending = linkedMapOf<ProblemKey, ProblemChange>()
    private val recentClears = linkedMapOf<ProblemKey, Long>()
    private val loop = ControlLoop("problems", STEP_INTERVAL_MILLIS) { step() }
    private var lastRead = ProblemList()
    private var nextReadAtMillis = Long.MIN_VALUE

    /** The number of changes not yet written to the service. */
    internal val pendingChangeCount: Int get() = synchronized(pending) { pending.size }

    override fun raise(kind: ProblemKind, subject: String, evidence: String) {
        val key = ProblemKey(kind, subject)
        synchronized(pending) {
            recentClears.remove(key)
            if (pending[key] is ProblemChange.Raise) return
            if (!isOpen(key)) logRaised(key, evidence)
            enqueue(key, ProblemChange.Raise(newReport(key, evidence)))
        }
        loop.wake()
    }

    override fun clear(kind: ProblemKind, subject: String) {
        val key = ProblemKey(kind, subject)
        synchronized(pending) {
            val now = context.wallClockMillis()
            recentClears.remove(key)
            recentClears[key] = now
            dropOldestIfFull(recentClears)
            if (pending[key] == null && !isOpen(key)) return
            enqueue(key, ProblemChange.Clear(now))
        }
        loop.wake()
    }

    /** Starts writing reported changes to the service. */
    fun start() = loop.start()

    /** Stops the loop and makes one last attempt to write the pending changes. */
    override fun close() {
        loop.close()
        step()
    }

    /**
     * Returns the problems of all hosts, open ones first, then newest first.
     *
     * If the service can't be read, the last list that was read is used.
     */
    fun list(): List<ProblemView> {
        refresh()
        val listed = synchronized(pending) {
            pending.entries.fold(lastRead) { list, (key, change) -> list.withChange(key, change) }
        }
        return listed.problems.sortedWith(
            compareBy<ProblemView> { it.clearedAtMillis != null }
                .thenByDescending { it.raisedAtMillis }
        )
    }

    internal fun step() {
        if (context.nowMillis() >= nextReadAtMillis) refresh()
        val batch = synchronized(pending) { pending.toMap() }
        if (batch.isEmpty()) return
        var updated = ProblemList()
        val outcome = writer.commit<Nothing> { body ->
            val current = body?.let { ProblemList.parseOrNull(it) } ?: ProblemList()
            updated = batch.entries.fold(current) { list, (key, change) ->
                list.withChange(key, change)
            }
            updated.print().right()
        }
        when (outcome) {
            is CommitOutcome.Committed -> recordWritten(batch, updated)

            is CommitOutcome.NotCommitted -> reportDelay(outcome.step, outcome.peer, outcome.reason)

            is CommitOutcome.Unknown -> reportDelay(outcome.step, outcome.peer, outcome.reason)

            is CommitOutcome.Rejected -> Unit
        }
    }

    private fun recordWritten(batch: Map<ProblemKey, ProblemChange>, updated: ProblemList) =
        synchronized(pending) {
            lastRead = updated
            batch.forEach { (key, change) -> pending.remove(key, change) }
        }

    private fun reportDelay(step: String, peer: String, reason: String) {
        context.count("problems.delayed")
        Logger.debug {
            event("problems-waiting", "step" to step, "peer" to peer, "reason" to reason)
        }
    }

    private fun refresh() {
        nextReadAtMillis = context.nowMillis() + READ_INTERVAL_MILLIS
        val read: Either<StoreError, VersionedDocument?> = writer.read()
        if (read !is Either.Right) return
        val list = read.value?.let { ProblemList.parseOrNull(it.body) } ?: ProblemList()
        synchronized(pending) {
            lastRead = list
            list.problems.filter { it.clearedAtMillis == null }.forEach(::reapplyRecentClear)
        }
    }

    private fun reapplyRecentClear(problem: ProblemView) {
        val key = problem.key() ?: return
        val clearedAt = recentClears[key] ?: return
        if (clearedAt < problem.raisedAtMillis || key in pending) return
        enqueue(key, ProblemChange.Clear(clearedAt))
    }

    private fun isOpen(key: ProblemKey) =
        lastRead.problems.any { it.clearedAtMillis == null && it.key() == key }

    private fun logRaised(key: ProblemKey, evidence: String) = Logger.warn {
        event(
            "problem-raised",
            "kind" to key.kind.name.lowercase(),
            "subject" to key.subject,
            "evidence" to evidence
        )
    }

    private fun enqueue(key: ProblemKey, change: ProblemChange) {
        pending.remove(key)
        pending[key] = change
        dropOldestIfFull(pending)
    }

    private fun <V> dropOldestIfFull(bounded: LinkedHashMap<ProblemKey, V>) {
        if (bounded.size <= MAX_TRACKED) return
        bounded.remove(bounded.keys.first())
        context.count("problems.dropped")
    }

    private fun newReport(key: ProblemKey, evidence: String) = ProblemView(
        id = "$processId/${lastReportNumber.incrementAndGet()}",
        kind = key.kind.name.lowercase(),
        subject = key.subject,
        evidence = evidence.take(MAX_EVIDENCE_CHARACTERS),
        raisedBy = context.host,
        raisedAtMillis = context.wallClockMillis()
    )

    companion object {
        private const val STEP_INTERVAL_MILLIS = 500L
        private const val READ_INTERVAL_MILLIS = 15_000L
        private const val MAX_TRACKED = 5_000
        private const val MAX_EVIDENCE_CHARACTERS = 500

        /** Returns the problem log of the host in [context]. */
        fun create(context: ControlContext): ProblemLog = ProblemLog(context)
    }
}
