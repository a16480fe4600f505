/** The invariants that hold at every moment of a schedule. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

/** Thrown when an invariant is violated. */
internal class InvariantViolation(message: String) : AssertionError(message)

/** Checks the state of the workers and the store; [neverRepeated] lists the jobs of that kind. */
internal class InvariantChecker(
    private val seed: Long,
    private val workers: () -> Collection<SimulatedWorker>,
    private val document: () -> ShardDocument,
    private val neverRepeated: Set<JobKey>,
    private val jobs: () -> Set<JobKey> = { emptySet() }
) {
    val runs = HashMap<String, Int>()
    val startedMillis = HashMap<String, Long>()

    /** The checkpointed progress from which each task was last resumed, if it ever was. */
    val resumedFromMillis = HashMap<String, Long>()
    private val finishedRuns = HashSet<String>()

    /** The newest record of every job, including those no longer in the document. */
    private val records = HashMap<JobKey, JobRecord>()

    fun require(holds: Boolean, message: () -> String) {
        if (!holds) throw InvariantViolation("seed $seed: ${message()}")
    }

    fun onStart(worker: SimulatedWorker, task: SimulatedWorker.Task, now: Long) {
        val id = task.order.taskId
        val (key, index) = JobKey.parseTaskIdOrNull(id) ?: error("no task id: $id")
        startedMillis.putIfAbsent(id, now)
        task.order.resumeFrom?.let { resumedFromMillis[id] = it.doneMillis }
        val record = records[key] ?: document().job(key)
        require(record != null) { "$id was started before its job was accepted" }
        require(record == null || index !in record.finished) { "$id was started after it finished" }
        val elsewhere = workers().filter { it !== worker && it.isUp }
            .filter { other -> other.running(now).any { it.order.taskId == id } }
        require(elsewhere.isEmpty()) {
            "$id runs on both ${worker.name} and ${elsewhere.first().name}"
        }
        val committed = worker.running(now)
            .fold(Resources.NONE) { sum, held -> sum + held.order.resources }
        require(committed.fitsIn(worker.capacity)) {
            "capacity of ${worker.name} exceeded: $committed in use at $now"
        }
        val count = runs.merge(id, 1, Int::plus) ?: 1
        require(key !in neverRepeated || count == 1) { "$id was started $count times" }
    }

    fun onEnd(worker: SimulatedWorker, task: SimulatedWorker.Task) {
        if (task.phase == TaskPhase.FINISHED) finishedRuns += task.order.taskId
        require(worker.isUp) { "${worker.name} is down but ended ${task.order.taskId}" }
    }

    fun onForget(worker: SimulatedWorker, task: SimulatedWorker.Task, now: Long) {
        if (task.phase != TaskPhase.FINISHED) return
        val (key, index) = JobKey.parseTaskIdOrNull(task.order.taskId) ?: return
        val record = records[key] ?: return
        val isDecided = record.state != JobState.ACCEPTED ||
            index in record.finished ||
            index in record.unknown
        require(isDecided || runsElsewhere(worker, task, now)) {
            "${worker.name} discarded the undecided result of ${task.order.taskId} at $now"
        }
    }

    private fun runsElsewhere(worker: SimulatedWorker, task: SimulatedWorker.Task, now: Long) =
        workers().any { other ->
            other !== worker &&
                other.isUp &&
                task.order.taskId in other.also { it.running(now) }.tasks
        }

    /** Returns the newest record of the job [key], even if it is no longer in the document. */
    fun recordOf(key: JobKey): JobRecord? = records[key]

    /** Returns the last recorded state of the job [key]. */
    fun stateOf(key: JobKey): JobState? = records[key]?.state

    /** Checks that [next] keeps the state of every job and that no ended job is open again. */
    fun onWrite(next: ShardDocument) {
        for ((key, old) in records) {
            val isHeld =
                next.job(key) != null || next.ended[key.team]?.stateOf(key.name) == old.state
            val wasHeld = document().job(key) != null
            require(isHeld || !wasHeld) { "the record of $key was dropped without its name" }
        }
        for (key in jobs() - records.keys) {
            val state = next.ended[key.team]?.stateOf(key.name) ?: continue
            records[key] = JobRecord(key.team, key.name, next.epoch, tasks = 1, state = state)
        }
        for (new in next.jobs) {
            val old = records[new.key]
            if (old != null) onChange(old, new)
            onFinished(new)
            records[new.key] = new
        }
    }

    private fun onChange(old: JobRecord, new: JobRecord) {
        val isFinal = old.state != JobState.ACCEPTED
        require(!isFinal || new.state == old.state) {
            "${old.key} changed its final state from ${old.state} to ${new.state}"
        }
        require(new.finished.size >= old.finished.size) {
            "recorded completions of ${old.key} were lost"
        }
    }

    private fun onFinished(record: JobRecord) {
        for (index in record.finished.toList()) {
            require(record.key.taskId(index) in finishedRuns) {
                "${record.key.taskId(index)} was recorded as finished but never finished"
            }
        }
    }

    fun atEnd(jobs: Collection<JobKey>, now: Long) {
        for (key in jobs) {
            val record = records[key]
            require(record != null && record.state != JobState.ACCEPTED) {
                "$key has no final state at $now: $record"
            }
            require(record?.state != JobState.FINISHED || record.finished.size == record.tasks) {
                "$key is recorded as finished without all its tasks"
            }
        }
        val left = workers().flatMap { it.running(now) }.map { it.order.taskId }
        require(left.isEmpty()) { "$left are still running after all jobs ended" }
    }
}
