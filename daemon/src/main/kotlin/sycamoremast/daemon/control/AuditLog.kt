/**
 * The audit trail in the key-value service.
 *
 * Entries are appended in groups to numbered segments; the oldest segments are deleted. Recording
 * never blocks: entries wait in a bounded queue while the service is down. A change of
 * configuration is also remembered in the document itself, so that the trail shows it even if the
 * host that accepted it died before it could record it.
 */
package sycamoremast.daemon.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import java.util.UUID
import java.util.concurrent.atomic.AtomicLong
import org.tinylog.kotlin.Logger
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.document.ConfigurationDocument
import sycamoremast.coordination.store.CommitOutcome
import sycamoremast.coordination.store.StoredDocument
import sycamoremast.daemon.log.event

/** Records changes; [start] begins to write them to the service. */
class AuditLog private constructor(
    private val context: ControlContext,
    private val keptSegments: Long
) : AuditTrail,
    AutoCloseable {
    private val waiting = BoundedQueue<AuditEntry>(MAX_WAITING) { dropped() }
    private val process = UUID.randomUUID().toString()
    private val lastEntry = AtomicLong()
    private val loop = ControlLoop("audit", STEP_MILLIS) { step() }
    private val head = context.writer(HEAD_KEY)
    private var segment: Long? = null
    private var failing = false

    override fun record(change: AuditedChange) {
        val view = AuditView(
            atMillis = context.wallClockMillis(),
            operator = change.operator,
            action = change.action,
            subject = change.subject,
            fromRevision = change.fromRevision,
            toRevision = change.toRevision,
            host = context.host
        )
        waiting.add(AuditEntry("$process/${lastEntry.incrementAndGet()}", view))
        loop.wake()
    }

    /** Begins to write what is recorded. */
    fun start() = loop.start()

    /** Writes what still waits, if the service answers, and ends. */
    override fun close() {
        loop.close()
        step()
    }

    /**
     * Returns the newest [limit] changes, newest first.
     *
     * Changes that only [documents] remember are among them.
     */
    fun list(
        limit: Int,
        documents: List<ConfigurationDocument>
    ): Either<ErrorView, List<AuditView>> {
        val kept = read(limit).getOrElse { return it.toView().left() }
        val recorded = kept.map { it.view }.distinct()
        val known = recorded.mapTo(hashSetOf()) { it.subjectAndRevision() }
        val remembered = documents.flatMap(::remembered)
            .filter { it.subjectAndRevision() !in known }
        return (recorded + remembered).sortedByDescending { it.atMillis }.take(limit).right()
    }

    internal fun step() {
        while (true) {
            val group = waiting.take(MAX_GROUP)
            if (group.isEmpty()) return
            val left = append(group)
            if (left.isNotEmpty()) {
                waiting.putBack(left)
                return
            }
        }
    }

    /** Appends [group]; returns the entries that are not certainly recorded. */
    private fun append(group: List<AuditEntry>): List<AuditEntry> {
        var number = segment ?: readHead() ?: return group
        var left = group
        while (true) {
            val writer = context.writer(segmentKey(number))
            val outcome = writer.commit { body -> appendTo(body, left) }
            when (outcome) {
                is CommitOutcome.Committed -> {
                    failing = false
                    segment = number
                    return emptyList()
                }

                is CommitOutcome.Rejected -> {
                    left = outcome.rejection.lacking
                    number++
                    advanceTo(number)
                }

                is CommitOutcome.NotCommitted ->
                    return left.also { failed(outcome.step, outcome.peer, outcome.reason) }

                is CommitOutcome.Unknown ->
                    return left.also { failed(outcome.step, outcome.peer, outcome.reason) }
            }
        }
    }

    private fun appendTo(body: String?, added: List<AuditEntry>): Either<SegmentFull, String> {
        val current = body?.let { AuditSegment.parseOrNull(it) ?: return SegmentFull(added).left() }
        return (current ?: AuditSegment()).with(added).map { it.print() }
    }

    /** Notes that [number] is the newest segment and deletes the one that is too old. */
    private fun advanceTo(number: Long) {
        segment = number
        head.commit<Nothing> { body -> maxOf(number, body?.toLongOrNull() ?: 0).toString().right() }
        val outdated = segmentKey(number - keptSegments)
        val entry = if (number < keptSegments) null else context.budgeted.get(outdated).getOrNull()
        if (entry != null) context.budgeted.compareAndDelete(outdated, entry.version)
    }

    private fun readHead(): Long? = when (val read = head.read()) {
        is Either.Right -> read.value?.body?.toLongOrNull() ?: 0

        is Either.Left -> {
            failed(read.value.step, read.value.peer, read.value.reason)
            null
        }
    }

    private fun read(limit: Int): Either<StoreError, List<AuditEntry>> {
        var number = when (val read = head.read()) {
            is Either.Left -> return read
            is Either.Right -> read.value?.body?.toLongOrNull() ?: 0
        }
        val entries = mutableListOf<AuditEntry>()
        while (number >= 0 && entries.size < limit) {
            when (val answer = context.budgeted.get(segmentKey(number))) {
                is Either.Left -> return answer
                is Either.Right -> entries += entriesOf(answer.value) ?: break
            }
            number--
        }
        return entries.right()
    }

    private fun entriesOf(entry: StoreEntry?): List<AuditEntry>? {
        val document = entry?.let { StoredDocument.parseOrNull(it.value) } ?: return null
        return AuditSegment.parseOrNull(document.body)?.entries?.asReversed()
    }

    private fun failed(step: String, peer: String, reason: String) {
        if (failing) return
        failing = true
        Logger.warn {
            event("audit-waiting", "step" to step, "peer" to peer, "reason" to reason)
        }
    }

    private fun dropped() = context.count("audit.dropped")

    private fun remembered(document: ConfigurationDocument): List<AuditView> =
        (listOf(document.change) + document.history).map {
            AuditView(
                atMillis = it.atMillis,
                operator = it.operator,
                action = SUBMIT_ACTION,
                subject = document.team,
                fromRevision = it.fromRevision,
                toRevision = it.revision,
                host = ""
            )
        }

    companion object {
        private const val STEP_MILLIS = 500L
        private const val MAX_WAITING = 10_000
        private const val MAX_GROUP = 64
        private const val HEAD_KEY = "${ControlKeys.AUDIT}head"
        private const val DEFAULT_KEPT_SEGMENTS = 4_000L
        private const val SEGMENT_DIGITS = 10

        private fun segmentKey(number: Long) =
            ControlKeys.AUDIT + number.toString().padStart(SEGMENT_DIGITS, '0')

        /** Returns the trail as written by the host in [context]; it keeps [keptSegments]. */
        fun create(context: ControlContext, keptSegments: Long = DEFAULT_KEPT_SEGMENTS): AuditLog {
            require(keptSegments > 0) { "an audit trail keeps something: $keptSegments" }
            return AuditLog(context, keptSegments)
        }
    }
}

private fun AuditView.subjectAndRevision() = Triple(action, subject, toRevision)

private fun StoreError.toView() =
    ErrorView(step, peer, reason, retryAfterMillis = RETRY_AFTER_MILLIS)

private const val RETRY_AFTER_MILLIS = 2_000L
