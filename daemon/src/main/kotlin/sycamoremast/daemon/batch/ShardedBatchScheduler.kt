/** The batch scheduler that divides the workers of an availability zone into shards. */
package sycamoremast.daemon.batch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import org.tinylog.kotlin.Logger
import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.Repeat
import sycamoremast.configuration.Urgency
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.ShardView
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.WorkerPort
import sycamoremast.coordination.placement.whyNeverFits
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.DocumentSpace
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.shard.ShardEvent
import sycamoremast.coordination.shard.ShardMachine
import sycamoremast.coordination.shard.ShardSnapshot
import sycamoremast.daemon.control.AppliedConfiguration
import sycamoremast.daemon.control.AuditedChange

/**
 * Runs one state machine for each shard of the availability zone.
 *
 * This host owns some of the shards and is a standby for the others.
 */
internal class ShardedBatchScheduler(
    private val ports: BatchPorts,
    private val settings: BatchSettings
) : BatchScheduler {
    private val zone = ports.membership.self.availabilityZone
    private val host = ports.membership.self.host
    private val writer = "$host#${UUID.randomUUID()}"
    private val workersByName = ConcurrentHashMap<String, ListedHost>()
    private val workerPorts = ConcurrentHashMap<ListedHost, WorkerPort>()
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val timer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val loops = (0 until settings.shards).map { newLoop(ShardId(zone, it)) }
    private val balancer = ShardBalancer(ports.membership, loops, ports.clock, settings)
    private val editors = ConcurrentHashMap<ShardId, DocumentEditor>()
    private val ownerQueries = OwnerQueries(host, ports.peers, ::ownedShards)
    private val jobQueries =
        JobQueries(ports.store, ports.clock, ports.configuration, settings, ownerQueries) {
            ownedLoops().associate { it.id to it.snapshot().document }
        }
    private val ownerWatch = OwnerWatch(
        ports.store,
        ShardId.ownersPrefix(zone),
        loops.map { it.id.ownerKey }.toSet(),
        ::onOwnerObserved
    )

    /** The workersByName workers of all availability zones. */
    @Volatile
    private var allWorkers = emptyList<ListedHost>()

    /** The list that was last posted to the shards, to skip an unchanged list by identity. */
    private var lastHosts: List<ListedHost>? = null

    init {
        BatchMeters(ports.meters).registerGauges(loops)
    }

    override fun start() {
        ownerQueries.start()
        loops.forEach { it.start() }
        ports.configuration.onApplied(::onConfiguration)
        repeatEvery(WORKER_LIST_PERIOD_MILLIS, ::refreshWorkers)
        repeatEvery(settings.ownerLeaseMillis, ::requestDocumentReads)
        if (settings.shards > 1) repeatEvery(BALANCE_PERIOD_MILLIS, balancer::step)
        repeatEvery(settings.ownerLeaseMillis / 2, ::maintainOwnerWatch)
    }

    override fun stop() {
        timer.shutdownNow()
        ownerWatch.close()
        loops.forEach { it.post(ShardEvent.ReleaseRequested) }
        val handedOver = loops.map { it.stop(HAND_OVER_TIMEOUT_MILLIS) }.all { it }
        Logger.info("event=stopped step=hand-over-shards peer=$host complete=$handedOver")
        executor.shutdown()
        executor.awaitTermination(HAND_OVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun jobs(team: String?): List<JobView> = jobQueries.jobs(team)

    override fun cancel(team: String, job: String, operator: String): Either<ErrorView, JobView> {
        val key = JobKey(team, job)
        val (id, view) = jobQueries.findOrNull(key)
            ?: return ErrorView("cancel", host, "no job $key").left()
        if (view.state in FINAL_STATES) return view.right()
        val change = DocumentChange.CancelJob(key, view.tasks, "cancelled by $operator")
        return when (val result = editor(id).apply(change)) {
            is Either.Left -> result.value.view().left()

            is Either.Right -> {
                loops.firstOrNull { it.id == id }?.post(ShardEvent.DocumentChanged)
                ports.audit.record(AuditedChange(operator, "cancel", "$key", 0, 0))
                val state = result.value.stateOf(key)?.viewName ?: view.state
                (result.value.job(key)?.view(id.availabilityZone, null) ?: view.copy(state = state))
                    .right()
            }
        }
    }

    override fun unschedulableReason(team: String, job: Job, quota: Quota): String? {
        DocumentSpace.sizeRejection(job.toRecord(team))?.let { return it }
        val shard = settings.shardOf(team, job)
        val workers = allWorkers.filter { it.availabilityZone == shard.availabilityZone }
            .filter { settings.shardOf(it.name) == shard.number }
            .map { it.capacity }
            .filter { it != Resources.NONE }
        return whyNeverFits(job.toSpec(), workers, quota.toResources())
    }

    override fun shards(): List<ShardView> = loops
        .map { it.id to it.snapshot() }
        .filter { (_, snapshot) -> snapshot.isOwner }
        .map { (id, snapshot) -> snapshot.view(id) }

    private fun newLoop(id: ShardId) = ShardLoop(
        id,
        settings,
        ShardMachine(settings.toShardSettings(host, writer)),
        ShardPorts(
            ports.store,
            ::workerPort,
            ports.problems,
            ports.clock,
            executor,
            BatchMeters(ports.meters)
        )
    )

    private fun workerPort(name: String): WorkerPort? =
        workersByName[name]?.let { host -> workerPorts.computeIfAbsent(host, ports.worker) }

    private fun editor(id: ShardId) =
        editors.computeIfAbsent(id) { DocumentEditor(ports.store, it.documentKey, "$writer-edit") }

    private fun repeatEvery(periodMillis: Long, action: () -> Unit) {
        timer.scheduleWithFixedDelay({ logErrors(action) }, 0, periodMillis, TimeUnit.MILLISECONDS)
    }

    private fun logErrors(action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            Logger.error(e, "event=failed step=batch-timer peer=$host")
        }
    }

    private fun onConfiguration(applied: AppliedConfiguration) {
        val team = applied.team
        val jobs = applied.configuration.jobs.groupBy { settings.shardOf(team, it) }
        val quotas = settings.quotaByShard(applied.configuration)
        for (loop in loops) {
            val specs = jobs[loop.id].orEmpty().associate { it.name to it.toSpec() }
            val quota = quotas[loop.id]
            loop.post(ShardEvent.JobsListed(team, applied.revision, specs, quota))
        }
    }

    private fun refreshWorkers() {
        val hosts = ports.hosts.hosts().getOrNull() ?: return
        if (hosts === lastHosts) return
        lastHosts = hosts
        allWorkers = hosts.filter { it.role == HostRole.WORKER }
        val workers = allWorkers.filter { it.availabilityZone == zone }
        workers.forEach { workersByName[it.name] = it }
        val byShard = workers.groupBy { settings.shardOf(it.name) }
        loops.forEach { it.post(ShardEvent.WorkersListed(byShard[it.id.number].orEmpty())) }
    }

    /** Watches the owner keys while this host is a standby for any shard. */
    private fun maintainOwnerWatch() {
        if (loops.all { it.snapshot().isOwner }) ownerWatch.close() else ownerWatch.refresh()
    }

    private fun onOwnerObserved(ownerKey: String, isHeld: Boolean) {
        val loop = loops.firstOrNull { it.id.ownerKey == ownerKey } ?: return
        if (!loop.snapshot().isOwner) loop.post(ShardEvent.OwnerSeen(isHeld))
    }

    /** Makes ownedShards shards read their documents again, as other hosts may have edited them. */
    private fun requestDocumentReads() {
        ownedLoops().forEach { it.post(ShardEvent.DocumentChanged) }
    }

    private fun ownedLoops(): List<ShardLoop> = loops.filter { it.snapshot().isOwner }

    private fun ownedShards(team: String?) =
        ownedLoops().map { it.snapshot().toOwnedShard(it.id, team) }

    private companion object {
        const val WORKER_LIST_PERIOD_MILLIS = 1_000L
        const val BALANCE_PERIOD_MILLIS = 500L
        const val HAND_OVER_TIMEOUT_MILLIS = 5_000L
    }
}

internal fun Job.toSpec() = JobSpec(
    tasks = tasks,
    resources = Resources(milliCpus, memoryMib, accelerators),
    expectedMillis = expected.inWholeMilliseconds,
    neverRepeat = repeat == Repeat.NEVER,
    urgent = urgency == Urgency.URGENT,
    moveAfterMillis = moveAfter?.inWholeMilliseconds,
    command = command
)

internal fun StoreError.view() =
    ErrorView(step, peer, reason, RETRY_AFTER_MILLIS, this is StoreError.AnswerLost)

internal fun ShardSnapshot.view(id: ShardId) = ShardView(
    shard = "$id",
    owner = document.owner,
    epoch = epoch,
    workers = workers,
    runningTasks = running.values.sum(),
    waitingTasks = document.waitingTasks() - running.values.sum()
)

private const val RETRY_AFTER_MILLIS = 1_000L
