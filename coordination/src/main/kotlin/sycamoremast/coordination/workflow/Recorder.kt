/**
 * Decides what is written to the store and when.
 *
 * One batch is in flight at a time. An end may be acknowledged to its worker once a batch that was
 * formed after the end was seen, and that holds every workflow changed until then, is durable.
 */
package sycamoremast.coordination.workflow

internal class Recorder(private val fleet: Fleet) {
    private val changed = LinkedHashSet<OpenWorkflow>()
    private var isRosterChanged = false
    private var inFlight: InFlight? = null
    private var lastBatchMillis = Long.MIN_VALUE / 2
    private var lastCountMillis = Long.MIN_VALUE / 2
    private var recordedWaiting: Map<String, Int>? = null
    private var newWaiting: Map<String, Int>? = null

    private class InFlight(
        val workflows: List<OpenWorkflow>,
        val phases: List<WorkflowPhase>,
        val ends: Map<FleetWorker, Long>,
        val roster: Set<String>?
    )

    fun changed(workflow: OpenWorkflow) {
        changed += workflow
    }

    fun rosterChanged() {
        isRosterChanged = true
    }

    /** Adds the next batch to the outbox, if there is something to record. */
    fun step(nowMillis: Long) {
        if (inFlight != null) return
        countWaiting(nowMillis)
        if (changed.isEmpty() && !isRosterChanged && newWaiting == null) {
            fleet.workers.values.forEach { it.recordedEnd = it.seenEnd }
            return
        }
        if (nowMillis < lastBatchMillis + fleet.settings.recordIntervalMillis) return
        lastBatchMillis = nowMillis
        begin()
    }

    private fun countWaiting(nowMillis: Long) {
        if (nowMillis < lastCountMillis + COUNT_INTERVAL_MILLIS) return
        lastCountMillis = nowMillis
        newWaiting = fleet.waitingByQueue().takeIf { it != recordedWaiting }
    }

    /** Returns when [step] has to be called next for a batch, or null if nothing waits. */
    fun dueMillisOrNull(): Long? {
        if (inFlight != null || (changed.isEmpty() && !isRosterChanged)) return null
        return lastBatchMillis + fleet.settings.recordIntervalMillis
    }

    private fun begin() {
        val batch = changed.take(MOST_WORKFLOWS)
        changed -= batch.toSet()
        val isComplete = changed.isEmpty()
        val ends = if (isComplete) fleet.workers.values.associateWith { it.seenEnd } else emptyMap()
        val roster = if (isRosterChanged) fleet.workers.values.map { it.ref } else null
        isRosterChanged = false
        inFlight =
            InFlight(batch, batch.map { it.phase }, ends, roster?.mapTo(HashSet()) { it.id })
        val progress = batch.associate { it.id to it.progress() }
        newWaiting?.let { recordedWaiting = it }
        fleet.outbox += SchedulerAction.Record(RecordBatch(progress, roster, newWaiting))
        newWaiting = null
    }

    /** Takes in that the batch in flight is durable; returns the workflows that it held. */
    fun recorded(): List<OpenWorkflow> {
        val done = inFlight ?: return emptyList()
        inFlight = null
        done.workflows.zip(done.phases).forEach { (w, phase) -> w.durablePhase = phase }
        done.ends.forEach { (worker, end) -> worker.recordedEnd = maxOf(worker.recordedEnd, end) }
        if (done.roster != null) {
            fleet.workers.values.forEach { if (it.id in done.roster) it.isInRoster = true }
            fleet.mayPlace = true
        }
        return done.workflows
    }

    private companion object {
        /** A transaction holds 32 entries; four are for the owner's records. */
        const val MOST_WORKFLOWS = 28

        /** Counts of waiting workflows may be 2 s old where callers see them; this leaves half. */
        const val COUNT_INTERVAL_MILLIS = 1_000L
    }
}
