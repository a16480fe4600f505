/**
 * The jobs as any host can show them to operators.
 *
 * What has ended is read from the shards' documents. Whether the tasks of an open job run is known
 * only to the owner of its shard, which is asked. A job whose owner does not tell is shown as
 * unconfirmed, with the reason and the age of the documents; no state is guessed.
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

/** What the shards' documents said when they were last read; [isFresh] if that was just now. */
private class Reading(
    val documents: Map<ShardId, ShardDocument>,
    val isFresh: Boolean,
    val readMillis: Long?
)

/**
 * A job of the shard [id].
 *
 * One without a [record] is in its team's configuration only, and maybe waits for room in the
 * shard's document, or has ended as [ended] so long ago that its record is gone.
 */
internal class ListedJob(
    val id: ShardId,
    val key: JobKey,
    val tasks: Int,
    val record: JobRecord?,
    val ended: JobState? = null,
    private val waitsForRoom: Boolean = false
) {
    val isOpen get() = ended == null && (record == null || record.state == JobState.ACCEPTED)

    /** Returns what the shard's document says of this job. */
    fun recorded(): JobView = record?.view(id.availabilityZone, null) ?: unrecorded()

    /** Returns the view of this job as far as it is known without a record. */
    fun unrecorded() = JobView(
        team = key.team,
        job = key.name,
        availabilityZone = id.availabilityZone,
        state = (ended ?: JobState.ACCEPTED).viewName,
        tasks = tasks,
        tasksFinished = if (ended == JobState.FINISHED) tasks else 0,
        reason = if (ended == null && waitsForRoom) WAITS_FOR_ROOM else ""
    )

    private companion object {
        const val WAITS_FOR_ROOM = "waits for room in its shard's document"
    }
}

/** Returns this job of [team] as the shard [id] with [document] and its [room] knows it. */
internal fun Job.listed(id: ShardId, team: String, document: ShardDocument?, room: DocumentSpace?) =
    ListedJob(
        id,
        JobKey(team, name),
        tasks,
        record = null,
        ended = document?.stateOf(JobKey(team, name)),
        waitsForRoom = room?.admits(toRecord(team)) == false
    )

internal class JobBoard(
    private val store: KeyValueStore,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationView,
    private val settings: BatchSettings,
    private val owners: OwnerQueries,
    private val ownDocuments: () -> Map<ShardId, ShardDocument>
) {
    @Volatile
    private var last = Reading(emptyMap(), isFresh = false, readMillis = null)

    /** Returns the shard and the recorded view of [key], or null if there is no such job. */
    fun recordedOrNull(key: JobKey): Pair<ShardId, JobView>? = list(read(), key.team)
        .firstOrNull { it.key == key }
        ?.let { it.id to it.recorded() }

    /** Returns the jobs of [team], or of every team; blocks for a few calls' timeouts at most. */
    fun jobs(team: String?): List<JobView> {
        val first = read()
        val listed = list(first, team)
        val answers = owners.ask(ownersOf(listed, first), team)
        val isOutdated = first.isFresh && listed.any { hasEndedSince(it, answers[it.id]) }
        val newest = if (isOutdated) read() else first
        val shown = if (isOutdated) list(newest, team) else listed
        return shown.map { view(it, answers[it.id], newest) }
            .sortedWith(compareBy({ it.team }, { it.job }))
    }

    private fun read(): Reading {
        val listing = store.list(SHARDS_PREFIX).getOrNull()
            ?: return Reading(last.documents + ownDocuments(), isFresh = false, last.readMillis)
        val documents = listing.entries.mapNotNull { entry ->
            val id = ShardId.fromDocumentKeyOrNull(entry.key) ?: return@mapNotNull null
            ShardDocument.parseOrNull(entry.value)?.let { id to it }
        }.toMap()
        return Reading(documents, isFresh = true, clock.nowMillis()).also { last = it }
    }

    private fun list(reading: Reading, team: String?): List<ListedJob> {
        val records = reading.documents.flatMap { (id, document) ->
            document.jobs.map { ListedJob(id, it.key, it.tasks, it) }
        }
        val known = records.mapTo(HashSet()) { it.key }
        val rooms = reading.documents.mapValues { lazy { DocumentSpace.of(it.value) } }
        val others = configuration.inForce().values.flatMap { applied ->
            applied.configuration.jobs.filter { JobKey(applied.team, it.name) !in known }.map {
                val id = settings.shardOf(applied.team, it)
                it.listed(id, applied.team, reading.documents[id], rooms[id]?.value)
            }
        }
        return (records + others)
            .filter { team == null || it.key.team == team }
    }

    /** A finished job has no tasks left, so that its owner need not be asked. */
    private fun ownersOf(listed: List<ListedJob>, reading: Reading): Map<ShardId, RecordedOwner> =
        listed.filter { it.ended == null && it.record?.state != JobState.FINISHED }
            .mapNotNullTo(HashSet()) { it.id }
            .mapNotNull { id ->
                reading.documents[id]?.let { id to RecordedOwner(it.owner, it.epoch) }
            }
            .filter { (_, owner) -> owner.host.isNotEmpty() }
            .toMap()

    /** Whether the owner no longer counts a job as open that is recorded as such. */
    private fun hasEndedSince(listed: ListedJob, answer: OwnerAnswer?): Boolean =
        listed.record?.state == JobState.ACCEPTED &&
            answer is OwnerAnswer.Known &&
            answer.jobs[listed.key]?.open != true

    private fun view(listed: ListedJob, answer: OwnerAnswer?, reading: Reading): JobView {
        val known = (answer as? OwnerAnswer.Known)?.jobs?.get(listed.key)
        return when {
            listed.ended != null -> listed.unrecorded()
            listed.record != null && !listed.isOpen -> ended(listed.id, listed.record, answer)
            known != null && known.open -> listed.asTold(known)
            listed.record == null && reading.isFresh -> listed.unrecorded()
            else -> unconfirmed(listed, answer, reading)
        }
    }

    /** Returns the view of a job that has ended, with what its owner says still runs of it. */
    private fun ended(id: ShardId, record: JobRecord, answer: OwnerAnswer?): JobView {
        val running = when (answer) {
            is OwnerAnswer.Known -> answer.jobs[record.key]?.running ?: 0
            is OwnerAnswer.NotKnown -> null
            null -> 0
        }
        return record.view(id.availabilityZone, running)
    }

    private fun ListedJob.asTold(told: OwnedJob) = unrecorded().copy(
        state = if (told.running + told.finished > 0) "running" else "accepted",
        tasksFinished = maxOf(told.finished, record?.finished?.size ?: 0),
        tasksRunning = told.running
    )

    private fun unconfirmed(listed: ListedJob, answer: OwnerAnswer?, reading: Reading) =
        listed.unrecorded().copy(
            state = UNCONFIRMED,
            tasksFinished = listed.record?.finished?.size ?: 0,
            tasksRunning = null,
            reason = reasonOf(answer),
            viewAgeMillis = reading.readMillis?.let { clock.nowMillis() - it }
        )

    private fun reasonOf(answer: OwnerAnswer?) = when (answer) {
        is OwnerAnswer.NotKnown -> answer.reason
        is OwnerAnswer.Known -> "its owner no longer counts it as open; the record is out of reach"
        null -> "the owner of its shard is not known here"
    }
}
