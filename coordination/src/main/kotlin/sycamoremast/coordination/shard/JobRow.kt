/** The owner's in-memory state of one job, in addition to its record. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.placement.ExpectedRunTime
import sycamoremast.coordination.placement.WaitingJob
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.record.JobState

internal class JobRow(var record: JobRecord) {
    val key: JobKey = record.key
    val activeAttempts = LinkedHashMap<Int, TaskAttempt>()
    val checkpoints = HashMap<Int, Checkpoint>()
    var expected = ExpectedRunTime(record.spec?.expectedMillis ?: 0)

    /** The time since which the job has been waiting for a task to be placed. */
    var waitingSinceMillis = 0L
    private val rackLoad = HashMap<String, Int>()
    private val failures = HashMap<Int, Int>()

    /** Whether a change that ends the job has been submitted. */
    var isEnding = false
    private val lastAttempts = HashMap<Int, Int>()
    private val pendingDecisions = HashSet<Int>()
    private val requeued = ArrayDeque<Int>()
    private var cursor = 0

    init {
        checkpoints.putAll(record.checkpoints)
    }

    val spec: JobSpec? get() = record.spec
    val isLong: Boolean get() = toWaitingJob(nowMillis = 0).isLong
    val isOpen: Boolean get() = record.state == JobState.ACCEPTED && !isEnding

    /** The number of tasks that are waiting for placement. */
    val waitingTasks: Int
        get() = record.tasks - record.finished.size - record.unknown.size - activeAttempts.size

    /** Whether the outcome of the task [index] is recorded, or a change to record it is pending. */
    fun isDecided(index: Int) =
        index in pendingDecisions || index in record.finished || index in record.unknown

    /** Whether the outcome of the task [index] is recorded in the document. */
    fun isDurablyDecided(index: Int) = record.state != JobState.ACCEPTED ||
        index in record.finished ||
        index in record.unknown

    fun decide(index: Int) {
        pendingDecisions += index
    }

    fun updateRecord(newer: JobRecord) {
        record = newer
        pendingDecisions.removeIf { it in newer.finished || it in newer.unknown }
    }

    fun requeue(index: Int) {
        requeued.addLast(index)
    }

    /** Returns the index of the next task to place without removing it, or null if none waits. */
    fun nextWaiting(): Int? {
        while (requeued.isNotEmpty() && !isWaiting(requeued.first())) requeued.removeFirst()
        requeued.firstOrNull()?.let { return it }
        while (cursor < record.tasks && !isWaiting(cursor)) cursor++
        return cursor.takeIf { it < record.tasks }
    }

    /** Counts a failure of the task [index] and returns its number of failures. */
    fun recordFailure(index: Int): Int = failures.merge(index, 1, Int::plus) ?: 1

    fun lastAttemptOf(index: Int) = lastAttempts[index] ?: 0

    fun recordAttempt(index: Int, attempt: Int) {
        lastAttempts[index] = maxOf(attempt, lastAttemptOf(index))
    }

    /** Stores [checkpoint] if it is more advanced than the known one. */
    fun recordCheckpoint(index: Int, checkpoint: Checkpoint?) {
        val known = checkpoints[index]
        if (checkpoint == null) return
        if (known == null || known.doneMillis < checkpoint.doneMillis) {
            checkpoints[index] = checkpoint
        }
    }

    /** Returns the view of this job that the queue order compares. */
    fun toWaitingJob(nowMillis: Long): WaitingJob {
        val open = activeAttempts.values.firstOrNull()?.startedMillis
        val estimate = if (open == null) expected else expected.withRunInProgress(nowMillis - open)
        return WaitingJob(
            team = key.team,
            need = resources,
            isUrgent = spec?.urgent == true,
            expectedMillis = estimate.millis,
            waitedMillis = (nowMillis - waitingSinceMillis).coerceAtLeast(0)
        )
    }

    /** Returns the number of the job's tasks that are placed in [rack]. */
    fun rackLoad(rack: String) = rackLoad[rack] ?: 0

    fun changeRackLoad(rack: String, by: Int) {
        rackLoad.merge(rack, by, Int::plus)
    }

    private fun isWaiting(index: Int) = index !in activeAttempts && !isDecided(index)
}
