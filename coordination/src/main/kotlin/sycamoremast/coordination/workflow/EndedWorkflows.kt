/**
 * The workflows that have ended, until the owner may forget them.
 *
 * Their records are deleted some time after the end, so that neither the time that a takeover takes
 * nor the memory of the owner grows with all that has ever run. The owner itself knows a workflow
 * until it has seen the deletion in the store's changes: they arrive in order, so no earlier change
 * can then tell of the workflow as if it were new.
 */
package sycamoremast.coordination.workflow

import java.util.PriorityQueue

/** The ended workflows, which are kept as long as [settings] say. */
internal class EndedWorkflows(private val settings: SchedulerSettings) {
    private val byId = HashMap<String, EndedWorkflow>()
    private val unscheduled = LinkedHashMap<String, EndedWorkflow>()
    private val byDueTime = PriorityQueue<EndedWorkflow>(compareBy { it.dueMillis })

    private var deletedCount = 0
    private var oldestEndMillis = Long.MAX_VALUE
    private var lastLogMillis = Long.MIN_VALUE / 2

    val size: Int get() = byId.size + unscheduled.size

    operator fun contains(id: String) = id in byId || id in unscheduled

    fun phaseOrNull(id: String): WorkflowPhase? = byId[id]?.phase ?: unscheduled[id]?.phase

    /** Adds the workflow [id], which ended as [phase]; callers can see that from now on. */
    fun add(id: String, phase: WorkflowPhase, isCancelled: Boolean) {
        if (id in this) return
        unscheduled[id] = EndedWorkflow(id, phase).also { it.isCancelled = isCancelled }
    }

    /** Adds the workflow [id], which ended as [phase], to be kept until [dueMillis]. */
    fun add(id: String, phase: WorkflowPhase, dueMillis: Long) {
        if (id !in this) schedule(EndedWorkflow(id, phase), dueMillis)
    }

    private fun schedule(ended: EndedWorkflow, dueMillis: Long) {
        ended.dueMillis = dueMillis
        byId[ended.id] = ended
        byDueTime += ended
    }

    /**
     * Returns until when on this owner's clock a workflow is kept that an earlier owner recorded as
     * ended at [endedUnixMillis], or without a time if that is 0.
     *
     * The record may have been written late, and by another clock; no workflow is kept longer than
     * if it ended now.
     */
    fun dueMillis(
        phase: WorkflowPhase,
        endedUnixMillis: Long,
        nowMillis: Long,
        unixMillis: Long
    ): Long {
        val retentionMillis = settings.retentionMillis(phase)
        if (endedUnixMillis <= 0) return nowMillis + retentionMillis
        val leftMillis =
            endedUnixMillis + settings.recordDelayMillis + retentionMillis - unixMillis
        return nowMillis + leftMillis.coerceIn(0, retentionMillis)
    }

    /** Begins to count the time of workflows that were added without one, before [nowMillis]. */
    fun step(nowMillis: Long) {
        if (unscheduled.isEmpty()) return
        unscheduled.values.forEach {
            schedule(it, nowMillis + settings.retentionMillis(it.phase))
        }
        unscheduled.clear()
    }

    /** Records that the store holds a cancellation of the workflow [id], if that has ended. */
    fun onCancelled(id: String) {
        (byId[id] ?: unscheduled[id])?.isCancelled = true
    }

    /** Whether records of a workflow may be deleted at [nowMillis]. */
    fun isAnyDue(nowMillis: Long): Boolean =
        byDueTime.peek()?.let { it.dueMillis <= nowMillis } ?: false

    /**
     * Returns workflows whose records may be deleted at [nowMillis], which take at most [entries]
     * entries of a transaction; none of them is returned again.
     */
    fun takeDue(nowMillis: Long, entries: Int): List<EndedWorkflow> = buildList {
        var left = entries
        while (size < MAX_FORGOTTEN_AT_ONCE) {
            val next = byDueTime.peek() ?: break
            if (next.dueMillis > nowMillis || next.entries > left) break
            byDueTime.remove()
            // One that is unknown by now may have been deleted, and its ID used again.
            if (byId[next.id] !== next) continue
            left -= next.entries
            this += next
        }
    }

    /** Counts the [deleted] workflows, for the log. */
    fun onDeleted(deleted: List<EndedWorkflow>) {
        if (deleted.isEmpty()) return
        deletedCount += deleted.size
        oldestEndMillis = minOf(
            oldestEndMillis,
            deleted.minOf { it.dueMillis - settings.retentionMillis(it.phase) }
        )
    }

    /**
     * Returns how many workflows were deleted since the last call and the age of the oldest end, or
     * null if there is nothing to log yet.
     */
    fun logFieldsOrNull(nowMillis: Long): Array<Pair<String, Any?>>? {
        if (deletedCount == 0 || nowMillis < lastLogMillis + LOG_INTERVAL_MILLIS) return null
        val fields = arrayOf<Pair<String, Any?>>(
            "count" to deletedCount,
            "ageMillis" to nowMillis - oldestEndMillis,
            "kept" to size
        )
        lastLogMillis = nowMillis
        deletedCount = 0
        oldestEndMillis = Long.MAX_VALUE
        return fields
    }

    /** Forgets the workflow [id], whose records are deleted. */
    fun remove(id: String) {
        byId -= id
        unscheduled -= id
    }

    private companion object {
        /** Bounds how long the store works on one transaction. */
        const val MAX_FORGOTTEN_AT_ONCE = 10

        /** Workflows are deleted many times a second. */
        const val LOG_INTERVAL_MILLIS = 10_000L
    }
}
