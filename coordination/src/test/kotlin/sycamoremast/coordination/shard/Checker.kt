/** The promises that hold at every moment of a schedule. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

/** A promise that did not hold. */
internal class BrokenPromise(message: String) : AssertionError(message)

/** Checks what the workers and the service see; [neverRepeated] lists such jobs. */
internal class Checker(
    private val seed: Long,
    private val workers: () -> Collection<SimulatedWorker>,
    private val document: () -> ShardDocument,
    private val neverRepeated: Set<JobKey>
) {
    val runs = HashMap<String, Int>()
    val startedMillis = HashMap<String, Long>()
    private val finishedRuns = HashSet<String>()

    fun require(holds: Boolean, message: () -> String) {
        if (!holds) throw BrokenPromise("seed $seed: ${message()}")
    }

    fun onStart(worker: SimulatedWorker, task: SimulatedWorker.Task, now: Long) {
        val id = task.order.taskId
        val (key, index) = JobKey.parseTaskIdOrNull(id) ?: error("no task id: $id")
        startedMillis.putIfAbsent(id, now)
        val record = document().job(key)
        require(record != null) { "$id started before its job was accepted" }
        require(record == null || index !in record.finished) { "$id started after it finished" }
        val elsewhere = workers().filter { it !== worker && it.isUp }
            .filter { other -> other.running(now).any { it.order.taskId == id } }
        require(elsewhere.isEmpty()) { "$id runs on ${worker.name} and ${elsewhere.first().name}" }
        val committed = worker.running(now)
            .fold(Resources.NONE) { sum, held -> sum + held.order.resources }
        require(committed.fitsIn(worker.capacity)) { "${worker.name} holds $committed at $now" }
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
        val record = document().job(key) ?: return
        val isDecided = record.state != JobState.ACCEPTED ||
            index in record.finished ||
            index in record.unknown
        require(isDecided || runsElsewhere(worker, task, now)) {
            "${worker.name} forgot the result of ${task.order.taskId} at $now"
        }
    }

    private fun runsElsewhere(worker: SimulatedWorker, task: SimulatedWorker.Task, now: Long) =
        workers().any { other ->
            other !== worker &&
                other.isUp &&
                task.order.taskId in other.also { it.running(now) }.tasks
        }

    fun onFinished(record: JobRecord) {
        for (index in record.finished.toList()) {
            require(record.key.taskId(index) in finishedRuns) {
                "${record.key.taskId(index)} was recorded but never finished"
            }
        }
    }

    fun atEnd(document: ShardDocument, jobs: Collection<JobKey>, now: Long) {
        for (key in jobs) {
            val record = document.job(key)
            require(record != null && record.state != JobState.ACCEPTED) {
                "$key is not decided at $now: $record"
            }
            require(record?.state != JobState.FINISHED || record.finished.size == record.tasks) {
                "$key ended without all its tasks"
            }
        }
        val left = workers().flatMap { it.running(now) }.map { it.order.taskId }
        require(left.isEmpty()) { "$left still run after all jobs ended" }
    }
}
