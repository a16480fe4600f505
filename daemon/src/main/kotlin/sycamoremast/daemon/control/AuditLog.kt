/**
 * The audit trail in the key-value service.
 *
 * Entries are appended in batches to numbered segments, and the oldest segments are deleted.
 * Recording never blocks: entries wait in a bounded queue while the service is unavailable. A
 * configuration document also carries the history of its own changes, so that the trail lists a
 * change even if the host that accepted it crashed before recording it.
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

/** Records audited changes; [start] starts the loop that writes them to the service. */
class AuditLog private constructor(
    private val context: ControlContext,
    private val retainedSegments: Long
) : AuditTrail,
    AutoCloseable {
    private val pending = BoundedQueue<AuditEntry>(MAX_PENDING) { countDropped() }
    private val processId = UUID.randomUUID().toString()
    private val lastEntryNumber = AtomicLong()
    private val loop = ControlLoop("audit", STEP_INTERVAL_MILLIS) { step() }
    private val headWriter = context.writer(HEAD_KEY)

    /** The number of the newest segment, or null until it has been read. */
    private var currentSegment: Long? = null
    private var isFailing = false

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
        pending.add(AuditEntry("$processId/${lastEntryNumber.incrementAndGet()}", view))
        loop.wake()
    }

    /** Starts writing recorded changes to the service. */
    fun start() = loop.start()

    /** Stops the loop and makes one last attempt to write the pending entries. */
    override fun close() {
        loop.close()
        step()
    }

    /**
     * Returns the newest [limit] changes, newest first.
     *
     * Includes changes that appear only in the history of [documents].
     */
    fun list(
        limit: Int,
        documents: List<ConfigurationDocument>
    ): Either<ErrorView, List<AuditView>> {
        val entries = read(limit).getOrElse { return it.toView().left() }
        val recorded = entries.map { it.view }.distinct()
        val recordedKeys = recorded.mapTo(hashSetOf()) { it.changeKey() }
        val fromDocuments = documents.flatMap(::changesOf)
            .filter { it.changeKey() !in recordedKeys }
        return (recorded + fromDocuments).sortedByDescending { it.atMillis }.take(limit).right()
    }

    internal fun step() {
        while (true) {
            val batch = pending.take(MAX_BATCH)
            if (batch.isEmpty()) return
            val remaining = append(batch)
            if (remaining.isNotEmpty()) {
                pending.putBack(remaining)
                return
            }
        }
    }

    /** Appends [batch]; returns the entries that are not known to be recorded. */
    private fun append(batch: List<AuditEntry>): List<AuditEntry> {
        var number = currentSegment ?: readHead() ?: return batch
        var remaining = batch
        while (true) {
            val writer = context.writer(segmentKey(number))
            val outcome = writer.commit { body -> appendTo(body, remaining) }
            when (outcome) {
                is CommitOutcome.Committed -> {
                    isFailing = false
                    currentSegment = number
                    return emptyList()
                }

                is CommitOutcome.Rejected -> {
                    remaining = outcome.rejection.missing
                    number++
                    advanceTo(number)
                }

                is CommitOutcome.NotCommitted ->
                    return remaining.also { logFailure(outcome.step, outcome.peer, outcome.reason) }

                is CommitOutcome.Unknown ->
                    return remaining.also { logFailure(outcome.step, outcome.peer, outcome.reason) }
            }
        }
    }

    private fun appendTo(body: String?, added: List<AuditEntry>): Either<SegmentFull, String> {
        val current = body?.let { AuditSegment.parseOrNull(it) ?: return SegmentFull(added).left() }
        return (current ?: AuditSegment()).withEntries(added).map { it.print() }
    }

    /** Records [number] as the newest segment and deletes the segment past the retention limit. */
    private fun advanceTo(number: Long) {
        currentSegment = number
        headWriter.commit<Nothing> { body ->
            maxOf(number, body?.toLongOrNull() ?: 0).toString().right()
        }
        val expired = segmentKey(number - retainedSegments)
        val entry = if (number < retainedSegments) {
            null
        } else {
            context.budgetedStore.get(expired).getOrNull()
        }
        if (entry != null) context.budgetedStore.compareAndDelete(expired, entry.version)
    }

    private fun readHead(): Long? = when (val read = headWriter.read()) {
        is Either.Right -> read.value?.body?.toLongOrNull() ?: 0

        is Either.Left -> {
            logFailure(read.value.step, read.value.peer, read.value.reason)
            null
        }
    }

    private fun read(limit: Int): Either<StoreError, List<AuditEntry>> {
        var number = when (val read = headWriter.read()) {
            is Either.Left -> return read
            is Either.Right -> read.value?.body?.toLongOrNull() ?: 0
        }
        val entries = mutableListOf<AuditEntry>()
        while (number >= 0 && entries.size < limit) {
            when (val answer = context.budgetedStore.get(segmentKey(number))) {
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

    /** Logs only the first of consecutive failures. */
    private fun logFailure(step: String, peer: String, reason: String) {
        if (isFailing) return
        isFailing = true
        Logger.warn {
            event("audit-waiting", "step" to step, "peer" to peer, "reason" to reason)
        }
    }

    private fun countDropped() = context.count("audit.dropped")

    private fun changesOf(document: ConfigurationDocument): List<AuditView> =
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
        private const val STEP_INTERVAL_MILLIS = 500L
        private const val MAX_PENDING = 10_000
        private const val MAX_BATCH = 64
        private const val HEAD_KEY = "${ControlKeys.AUDIT}head"
        private const val DEFAULT_RETAINED_SEGMENTS = 4_000L
        private const val SEGMENT_DIGITS = 10

        private fun segmentKey(number: Long) =
            ControlKeys.AUDIT + number.toString().padStart(SEGMENT_DIGITS, '0')

        /** Returns the audit log of the host in [context]; retains [retainedSegments] segments. */
        fun create(
            context: ControlContext,
            retainedSegments: Long = DEFAULT_RETAINED_SEGMENTS
        ): AuditLog {
            require(retainedSegments > 0) { "retainedSegments not positive: $retainedSegments" }
            return AuditLog(context, retainedSegments)
        }
    }
}

private fun AuditView.changeKey() = Triple(action, subject, toRevision)

private fun StoreError.toView() =
    ErrorView(step, peer, reason, retryAfterMillis = RETRY_AFTER_MILLIS)

private const val RETRY_AFTER_MILLIS = 2_000L
