/**
 * Answers operators' queries about jobs on any host.
 *
 * Ended jobs are read from the shards' documents. Only the owner of a shard knows which tasks of
 * its open jobs are running, so owners are queried. If an owner's answer is missing, the job is
 * shown as unconfirmed with the reason and the age of the documents; its state is not guessed.
 */
package sycamoremast.daemon.batch

import sycamoremast.configuration.Job
import sycamoremast.configuration.operator.JobView
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.record.DocumentSpace
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument
import sycamoremast.daemon.control.ConfigurationView
import sycamoremast.daemon.peer.OwnedJob

/** The shards' documents as last read; [isFresh] unless the latest read of the store failed. */
private class Snapshot(
    val documents: Map<ShardId, ShardDocument>,
    val isFresh: Boolean,
    val readMillis: Long?
)

/**
 * A job of the shard [id], which is recorded in the shard's document or only configured.
 *
 * A job without a [record] either has not been recorded yet, possibly because the shard's document
 * is full, or has ended in the state [ended] so long ago that its record was removed.
 */
internal class ListedJob(
    val id: ShardId,
    val key: JobKey,
    val tasks: Int,
    val record: JobRecord?,
    val ended: JobState? = null,
    private val isWaitingForSpace: Boolean = false
) {
    val isOpen get() = ended == null && (record == null || record.state == JobState.ACCEPTED)

    /** Returns the view of this job according to the shard's document. */
    fun recordedView(): JobView = record?.view(id.availabilityZone, null) ?: viewWithoutRecord()

    /** Returns the view of this job that is known without its record. */
    fun viewWithoutRecord() = JobView(
        team = key.team,
        job = key.name,
        availabilityZone = id.availabilityZone,
        state = (ended ?: JobState.ACCEPTED).viewName,
        tasks = tasks,
        tasksFinished = if (ended == JobState.FINISHED) tasks else 0,
        reason = if (ended == null && isWaitingForSpace) WAITING_FOR_SPACE else ""
    )

    private companion object {
        const val WAITING_FOR_SPACE = "waits for room in its shard's document"
    }
}

/** Returns this configured job of [team] as known to the shard [id] with [document] and [room]. */
internal fun Job.toListedJob(
    id: ShardId,
    team: String,
    document: ShardDocument?,
    room: DocumentSpace?
) = ListedJob(
    id,
    JobKey(team, name),
    tasks,
    record = null,
    ended = document?.stateOf(JobKey(team, name)),
    isWaitingForSpace = room?.admits(toRecord(team)) == false
)

/** Lists jobs from the shards' documents, the configuration and the answers of [owners]. */
internal class JobQueries(
    private val store: KeyValueStore,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationView,
    private val settings: BatchSettings,
    private val owners: OwnerQueries,
    private val ownDocuments: () -> Map<ShardId, ShardDocument>
) {
    @Volatile
    private var last = Snapshot(emptyMap(), isFresh = false, readMillis = null)

    /** Returns the shard and the recorded view of the job [key], or null if it does not exist. */
    fun findOrNull(key: JobKey): Pair<ShardId, JobView>? = listJobs(readDocuments(), key.team)
        .firstOrNull { it.key == key }
        ?.let { it.id to it.recordedView() }

    /** Returns the jobs of [team], or of every team; blocks for at most a few call timeouts. */
    fun jobs(team: String?): List<JobView> {
        val first = readDocuments()
        val listed = listJobs(first, team)
        val answers = owners.ask(ownersOf(listed, first), team)
        val isOutdated = first.isFresh && listed.any { hasEndedSinceRead(it, answers[it.id]) }
        val newest = if (isOutdated) readDocuments() else first
        val shown = if (isOutdated) listJobs(newest, team) else listed
        return shown.map { view(it, answers[it.id], newest) }
            .sortedWith(compareBy({ it.team }, { it.job }))
    }

    private fun readDocuments(): Snapshot {
        val listing = store.list(SHARDS_PREFIX).getOrNull()
            ?: return Snapshot(last.documents + ownDocuments(), isFresh = false, last.readMillis)
        val documents = listing.entries.mapNotNull { entry ->
            val id = ShardId.fromDocumentKeyOrNull(entry.key) ?: return@mapNotNull null
            ShardDocument.parseOrNull(entry.value)?.let { id to it }
        }.toMap()
        return Snapshot(documents, isFresh = true, clock.nowMillis()).also { last = it }
    }

    private fun listJobs(snapshot: Snapshot, team: String?): List<ListedJob> {
        val records = snapshot.documents.flatMap { (id, document) ->
            document.jobs.map { ListedJob(id, it.key, it.tasks, it) }
        }
        val known = records.mapTo(HashSet()) { it.key }
        val rooms = snapshot.documents.mapValues { lazy { DocumentSpace.of(it.value) } }
        val others = configuration.inForce().values.flatMap { applied ->
            applied.configuration.jobs.filter { JobKey(applied.team, it.name) !in known }.map {
                val id = settings.shardOf(applied.team, it)
                it.toListedJob(id, applied.team, snapshot.documents[id], rooms[id]?.value)
            }
        }
        return (records + others)
            .filter { team == null || it.key.team == team }
    }

    /** Skips finished jobs: they have no tasks left to ask the owner about. */
    private fun ownersOf(listed: List<ListedJob>, snapshot: Snapshot): Map<ShardId, RecordedOwner> =
        listed.filter { it.ended == null && it.record?.state != JobState.FINISHED }
            .mapNotNullTo(HashSet()) { it.id }
            .mapNotNull { id ->
                snapshot.documents[id]?.let { id to RecordedOwner(it.owner, it.epoch) }
            }
            .filter { (_, owner) -> owner.host.isNotEmpty() }
            .toMap()

    /** Returns whether the owner no longer reports a job as open that is recorded as open. */
    private fun hasEndedSinceRead(listed: ListedJob, answer: OwnerAnswer?): Boolean =
        listed.record?.state == JobState.ACCEPTED &&
            answer is OwnerAnswer.Known &&
            answer.jobs[listed.key]?.open != true

    private fun view(listed: ListedJob, answer: OwnerAnswer?, snapshot: Snapshot): JobView {
        val known = (answer as? OwnerAnswer.Known)?.jobs?.get(listed.key)
        return when {
            listed.ended != null -> listed.viewWithoutRecord()
            listed.record != null && !listed.isOpen -> endedView(listed.id, listed.record, answer)
            known != null && known.open -> listed.ownerReportedView(known)
            listed.record == null && snapshot.isFresh -> listed.viewWithoutRecord()
            else -> unconfirmedView(listed, answer, snapshot)
        }
    }

    /** Returns the view of an ended job, with the number of tasks its owner reports as running. */
    private fun endedView(id: ShardId, record: JobRecord, answer: OwnerAnswer?): JobView {
        val running = when (answer) {
            is OwnerAnswer.Known -> answer.jobs[record.key]?.running ?: 0
            is OwnerAnswer.Unavailable -> null
            null -> 0
        }
        return record.view(id.availabilityZone, running)
    }

    private fun ListedJob.ownerReportedView(reported: OwnedJob) = viewWithoutRecord().copy(
        state = if (reported.running + reported.finished > 0) "running" else "accepted",
        tasksFinished = maxOf(reported.finished, record?.finished?.size ?: 0),
        tasksRunning = reported.running
    )

    private fun unconfirmedView(listed: ListedJob, answer: OwnerAnswer?, snapshot: Snapshot) =
        listed.viewWithoutRecord().copy(
            state = UNCONFIRMED,
            tasksFinished = listed.record?.finished?.size ?: 0,
            tasksRunning = null,
            reason = unconfirmedReason(answer),
            viewAgeMillis = snapshot.readMillis?.let { clock.nowMillis() - it }
        )

    private fun unconfirmedReason(answer: OwnerAnswer?) = when (answer) {
        is OwnerAnswer.Unavailable -> answer.reason
        is OwnerAnswer.Known -> "its owner no longer counts it as open; the record is out of reach"
        null -> "the owner of its shard is not known here"
    }
}
