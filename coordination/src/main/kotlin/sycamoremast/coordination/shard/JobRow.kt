/** What a shard's owner knows of one job beyond its record. */
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
    val live = LinkedHashMap<Int, LiveTask>()
    val checkpoints = HashMap<Int, Checkpoint>()
    var expected = ExpectedRunTime(record.spec?.expectedMillis ?: 0)

    /** Since when the job has waited for a place of a task. */
    var waitingSinceMillis = 0L
    private val rackLoad = HashMap<String, Int>()
    private val failures = HashMap<Int, Int>()

    /** Whether the job's end is on its way into the document. */
    var isEnding = false
    private val attempts = HashMap<Int, Int>()
    private val deciding = HashSet<Int>()
    private val requeued = ArrayDeque<Int>()
    private var cursor = 0

    init {
        checkpoints.putAll(record.checkpoints)
    }

    val spec: JobSpec? get() = record.spec
    val isLong: Boolean get() = waiting(nowMillis = 0).isLong
    val isOpen: Boolean get() = record.state == JobState.ACCEPTED && !isEnding

    /** How many tasks wait for a place. */
    val waitingTasks: Int
        get() = record.tasks - record.finished.size - record.unknown.size - live.size

    /** Whether the outcome of the task [index] is decided, or on its way into the document. */
    fun isDecided(index: Int) =
        index in deciding || index in record.finished || index in record.unknown

    /** Whether the outcome of the task [index] is in the document. */
    fun isDurablyDecided(index: Int) = record.state != JobState.ACCEPTED ||
        index in record.finished ||
        index in record.unknown

    fun decide(index: Int) {
        deciding += index
    }

    fun takeRecord(newer: JobRecord) {
        record = newer
        deciding.removeIf { it in newer.finished || it in newer.unknown }
    }

    fun requeue(index: Int) {
        requeued.addLast(index)
    }

    /** Returns a task that waits for a place, without taking it, or null if there is none. */
    fun nextWaiting(): Int? {
        while (requeued.isNotEmpty() && !isWaiting(requeued.first())) requeued.removeFirst()
        requeued.firstOrNull()?.let { return it }
        while (cursor < record.tasks && !isWaiting(cursor)) cursor++
        return cursor.takeIf { it < record.tasks }
    }

    /** Counts a failure of the task [index] and returns how often it has failed. */
    fun sawFailure(index: Int): Int = failures.merge(index, 1, Int::plus) ?: 1

    fun attemptOf(index: Int) = attempts[index] ?: 0

    fun sawAttempt(index: Int, attempt: Int) {
        attempts[index] = maxOf(attempt, attemptOf(index))
    }

    /** Remembers [checkpoint] if it is further than what is known. */
    fun sawCheckpoint(index: Int, checkpoint: Checkpoint?) {
        val known = checkpoints[index]
        if (checkpoint == null) return
        if (known == null || known.doneMillis < checkpoint.doneMillis) {
            checkpoints[index] = checkpoint
        }
    }

    /** Returns the job as the queue's order sees it. */
    fun waiting(nowMillis: Long): WaitingJob {
        val open = live.values.firstOrNull()?.startedMillis
        val estimate = if (open == null) expected else expected.withRunInProgress(nowMillis - open)
        return WaitingJob(
            team = key.team,
            need = resources,
            isUrgent = spec?.urgent == true,
            expectedMillis = estimate.millis,
            waitedMillis = (nowMillis - waitingSinceMillis).coerceAtLeast(0)
        )
    }

    /** Returns how many of the job's tasks are in [rack]. */
    fun rackLoad(rack: String) = rackLoad[rack] ?: 0

    fun changeRackLoad(rack: String, by: Int) {
        rackLoad.merge(rack, by, Int::plus)
    }

    private fun isWaiting(index: Int) = index !in live && !isDecided(index)
}
