/**
 * A model of the platform's store in virtual time, with the keys that owners use.
 *
 * The owner's key is held under a lease. Records are written under the condition that the epoch's
 * key is at the version that their writer last wrote.
 */
package sycamoremast.coordination.workflow

/** The content of the owner's key. */
internal data class OwnerKey(val host: String, val epoch: Long, val lease: Int)

/** The content of the epoch's key. */
internal data class EpochKey(val epoch: Long, val batch: Long)

/** The roster as it was written at [version]. */
internal class StoredRoster(val record: RosterRecord, val version: Long)

/** A change of the job [id], which is deleted if [workflow] is null, or its cancellation. */
internal class WorkChange(val id: String, val workflow: Workflow?, val isCancelled: Boolean = false)

/** The version at which records were written, or null if [current] prevented it. */
internal class Commit(val version: Long?, val current: EpochKey, val currentVersion: Long)

internal class ModelStore(private val time: VirtualTime, private val pausesLeases: Boolean) {
    private val leaseEnds = HashMap<Int, Long>()
    private val hostEnds = LinkedHashMap<String, Long>()
    private val hostProcesses = HashMap<String, HostProcess>()
    private var lastLease = 0
    private var downSinceMillis: Long? = null
    val isUp: Boolean get() = downSinceMillis == null

    /** The version of the last change. */
    var version = 1L
        private set
    var owner: OwnerKey? = null
        private set

    /** The last content of the owner's key, which remains when the key is deleted. */
    var lastClaim: OwnerKey? = null
        private set

    /** The version of the owner's key, or 0 if it is absent. */
    var ownerVersion = 0L
        private set
    var epoch = EpochKey(0, 0)
        private set
    var epochVersion = 1L
        private set
    var roster: StoredRoster? = null
        private set
    var heartbeat: RecordVersion? = null
        private set
    val progress = LinkedHashMap<String, WorkflowProgress>()
    val jobs = LinkedHashMap<String, Workflow>()
    val cancels = LinkedHashSet<String>()

    /** All changes of jobs and of cancellations, in order. */
    val workChanges = ArrayList<WorkChange>()

    /** Called before the records of a workflow are deleted. */
    var onDeleted: (String) -> Unit = {}
    var plantedBug: PlantedForgettingBug? = null

    /** Called after each change of the owner's key, of the roster and of the heartbeat. */
    var onOwnerChanged: () -> Unit = {}

    fun accept(job: Workflow) {
        version++
        jobs[job.id] = job
        workChanges += WorkChange(job.id, job)
    }

    fun cancel(id: String) {
        version++
        cancels += id
        workChanges += WorkChange(id, jobs[id], isCancelled = true)
    }

    private fun delete(forgotten: ForgottenWorkflow) {
        onDeleted(forgotten.id)
        progress -= forgotten.id
        if (plantedBug == PlantedForgettingBug.DELETES_IN_PARTS) {
            time.at(time.now + SECOND_PART_MILLIS) { deleteJob(forgotten) }
        } else {
            deleteJob(forgotten)
        }
    }

    private fun deleteJob(forgotten: ForgottenWorkflow) {
        if (forgotten.isCancelled) cancels -= forgotten.id
        jobs -= forgotten.id
        workChanges += WorkChange(forgotten.id, null)
    }

    fun goDown() {
        downSinceMillis = time.now
    }

    fun comeUp() {
        val since = downSinceMillis ?: return
        downSinceMillis = null
        if (pausesLeases) {
            val pauseMillis = time.now - since
            leaseEnds.replaceAll { _, end -> if (end > since) end + pauseMillis else end }
            hostEnds.replaceAll { _, end -> if (end > since) end + pauseMillis else end }
        }
    }

    /** Registers [process] of its host, or renews its entry. */
    fun register(process: HostProcess) {
        hostEnds[process.host] = time.now + HOST_TTL_MILLIS
        hostProcesses[process.host] = process
    }

    /** Deletes the entry of [process], which stops. */
    fun unregister(process: HostProcess) {
        if (isUp && hostProcesses[process.host] == process) hostEnds -= process.host
    }

    /** Returns the processes of the hosts whose entries have not expired. */
    fun registeredHosts(): Set<HostProcess> {
        hostEnds.values.removeIf { it <= time.now }
        return hostEnds.keys.mapTo(LinkedHashSet()) { hostProcesses.getValue(it) }
    }

    fun grantLease(): Int = (++lastLease).also { leaseEnds[it] = time.now + LEASE_TTL_MILLIS }

    fun keepAlive(lease: Int): Boolean {
        expire()
        if (lease !in leaseEnds) return false
        leaseEnds[lease] = time.now + LEASE_TTL_MILLIS
        return true
    }

    fun endLease(lease: Int) {
        leaseEnds -= lease
        expire()
    }

    /** Deletes the owner's key if its lease has ended. */
    fun expire() {
        if (!isUp) return
        leaseEnds.values.removeIf { it <= time.now }
        val held = owner ?: return
        if (held.lease in leaseEnds) return
        owner = null
        ownerVersion = 0
        version++
        onOwnerChanged()
    }

    /** Writes the owner's key for [host]; returns the new epoch, or null if there is a conflict. */
    fun claim(host: String, lease: Int, ownerVersion: Long, epochVersion: Long): Long? {
        expire()
        val isUnchanged =
            ownerVersion == this.ownerVersion && epochVersion == this.epochVersion
        if (!isUnchanged || lease !in leaseEnds) return null
        version++
        epoch = EpochKey(epoch.epoch + 1, 0)
        this.epochVersion = version
        owner = OwnerKey(host, epoch.epoch, lease)
        lastClaim = owner
        this.ownerVersion = version
        onOwnerChanged()
        return epoch.epoch
    }

    /** Writes [batch] with [next] if the epoch's key is at [expectedVersion]. */
    fun commit(
        expectedVersion: Long,
        next: EpochKey,
        batch: RecordBatch,
        rosterRecord: RosterRecord?
    ): Commit {
        if (plantedBug == PlantedForgettingBug.EPOCH_IGNORED) batch.forgotten.forEach(::delete)
        if (epochVersion != expectedVersion) return Commit(null, epoch, epochVersion)
        version++
        epoch = next
        epochVersion = version
        val deleted = batch.forgotten.map { it.id }
        check(deleted.none { it in batch.progress }) { "$deleted are also written" }
        progress += batch.progress
        if (plantedBug != PlantedForgettingBug.EPOCH_IGNORED) batch.forgotten.forEach(::delete)
        if (rosterRecord != null) roster = StoredRoster(rosterRecord, version)
        if (batch.isHeartbeat) heartbeat = RecordVersion(next.epoch, next.batch)
        if (rosterRecord != null || batch.isHeartbeat) onOwnerChanged()
        return Commit(version, epoch, epochVersion)
    }

    companion object {
        const val LEASE_TTL_MILLIS = 2_000L
        const val HOST_TTL_MILLIS = 8_000L
        private const val SECOND_PART_MILLIS = 300L
    }
}
