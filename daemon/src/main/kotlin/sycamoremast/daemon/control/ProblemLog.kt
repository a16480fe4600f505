/**
 * Reports of missed outcomes, shared by all hosts through the key-value service.
 *
 * A problem is raised once, whichever hosts report it, and any host may clear it, so that it
 * outlives the host that raised it. Reports wait in memory while the service is down. Clearing a
 * problem that is not known to be open costs no call; it is remembered for a while and applied if
 * the next reading shows the problem after all.
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

/** Raises and clears problems; [start] begins to write them to the service. */
class ProblemLog private constructor(private val context: ControlContext) :
    ProblemReporter,
    AutoCloseable {
    private val writer = context.writer(ControlKeys.PROBLEMS)
    private val process = UUID.randomUUID().toString()
    private val lastReport = AtomicLong()
    private val waiting = linkedMapOf<ProblemKey, ProblemChange>()
    private val clearedHere = linkedMapOf<ProblemKey, Long>()
    private val loop = ControlLoop("problems", STEP_MILLIS) { step() }
    private var known = ProblemList()
    private var nextReadingMillis = Long.MIN_VALUE

    /** The reports that are not written yet. */
    internal val waitingReports: Int get() = synchronized(waiting) { waiting.size }

    override fun raise(kind: ProblemKind, subject: String, evidence: String) {
        val key = ProblemKey(kind, subject)
        synchronized(waiting) {
            clearedHere.remove(key)
            if (waiting[key] is ProblemChange.Raise) return
            if (!isOpen(key)) logRaised(key, evidence)
            put(key, ProblemChange.Raise(report(key, evidence)))
        }
        loop.wake()
    }

    override fun clear(kind: ProblemKind, subject: String) {
        val key = ProblemKey(kind, subject)
        synchronized(waiting) {
            val now = context.wallClockMillis()
            clearedHere.remove(key)
            clearedHere[key] = now
            dropOldest(clearedHere)
            if (waiting[key] == null && !isOpen(key)) return
            put(key, ProblemChange.Clear(now))
        }
        loop.wake()
    }

    /** Begins to write what is reported. */
    fun start() = loop.start()

    /** Writes what still waits, if the service answers, and ends. */
    override fun close() {
        loop.close()
        step()
    }

    /** Returns the problems of all hosts as last read, open ones first, then newest first. */
    fun list(): List<ProblemView> {
        refresh()
        val listed = synchronized(waiting) {
            waiting.entries.fold(known) { list, (key, change) -> list.with(key, change) }
        }
        return listed.problems.sortedWith(
            compareBy<ProblemView> { it.clearedAtMillis != null }
                .thenByDescending { it.raisedAtMillis }
        )
    }

    internal fun step() {
        if (context.nowMillis() >= nextReadingMillis) refresh()
        val group = synchronized(waiting) { waiting.toMap() }
        if (group.isEmpty()) return
        var after = ProblemList()
        val outcome = writer.commit<Nothing> { body ->
            val current = body?.let { ProblemList.parseOrNull(it) } ?: ProblemList()
            after = group.entries.fold(current) { list, (key, change) -> list.with(key, change) }
            after.print().right()
        }
        when (outcome) {
            is CommitOutcome.Committed -> written(group, after)

            is CommitOutcome.NotCommitted -> delayed(outcome.step, outcome.peer, outcome.reason)

            is CommitOutcome.Unknown -> delayed(outcome.step, outcome.peer, outcome.reason)

            is CommitOutcome.Rejected -> Unit
        }
    }

    private fun written(group: Map<ProblemKey, ProblemChange>, after: ProblemList) =
        synchronized(waiting) {
            known = after
            group.forEach { (key, change) -> waiting.remove(key, change) }
        }

    private fun delayed(step: String, peer: String, reason: String) {
        context.count("problems.delayed")
        Logger.debug {
            event("problems-waiting", "step" to step, "peer" to peer, "reason" to reason)
        }
    }

    private fun refresh() {
        nextReadingMillis = context.nowMillis() + READING_MILLIS
        val read: Either<StoreError, VersionedDocument?> = writer.read()
        if (read !is Either.Right) return
        val list = read.value?.let { ProblemList.parseOrNull(it.body) } ?: ProblemList()
        synchronized(waiting) {
            known = list
            list.problems.filter { it.clearedAtMillis == null }.forEach(::clearIfClearedHere)
        }
    }

    private fun clearIfClearedHere(problem: ProblemView) {
        val key = problem.key() ?: return
        val clearedAt = clearedHere[key] ?: return
        if (clearedAt < problem.raisedAtMillis || key in waiting) return
        put(key, ProblemChange.Clear(clearedAt))
    }

    private fun isOpen(key: ProblemKey) =
        known.problems.any { it.clearedAtMillis == null && it.key() == key }

    private fun logRaised(key: ProblemKey, evidence: String) = Logger.warn {
        event(
            "problem-raised",
            "kind" to key.kind.name.lowercase(),
            "subject" to key.subject,
            "evidence" to evidence
        )
    }

    private fun put(key: ProblemKey, change: ProblemChange) {
        waiting.remove(key)
        waiting[key] = change
        dropOldest(waiting)
    }

    private fun <V> dropOldest(bounded: LinkedHashMap<ProblemKey, V>) {
        if (bounded.size <= MAX_REMEMBERED) return
        bounded.remove(bounded.keys.first())
        context.count("problems.dropped")
    }

    private fun report(key: ProblemKey, evidence: String) = ProblemView(
        id = "$process/${lastReport.incrementAndGet()}",
        kind = key.kind.name.lowercase(),
        subject = key.subject,
        evidence = evidence.take(MAX_EVIDENCE),
        raisedBy = context.host,
        raisedAtMillis = context.wallClockMillis()
    )

    companion object {
        private const val STEP_MILLIS = 500L
        private const val READING_MILLIS = 15_000L
        private const val MAX_REMEMBERED = 5_000
        private const val MAX_EVIDENCE = 500

        /** Returns the problem reports as this host sees and makes them. */
        fun create(context: ControlContext): ProblemLog = ProblemLog(context)
    }
}
