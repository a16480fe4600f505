/** Runs one state machine for each shard of the availability zone. */
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

internal class ShardedBatchScheduler(
    private val ports: BatchPorts,
    private val settings: BatchSettings
) : BatchScheduler {
    private val zone = ports.membership.self.availabilityZone
    private val host = ports.membership.self.host
    private val writer = "$host#${UUID.randomUUID()}"
    private val listed = ConcurrentHashMap<String, ListedHost>()
    private val workerPorts = ConcurrentHashMap<ListedHost, WorkerPort>()
    private val calls = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val timer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val loops = (0 until settings.shards).map { newLoop(ShardId(zone, it)) }
    private val balancer = ShardBalancer(ports.membership, loops, ports.clock, settings)
    private val editors = ConcurrentHashMap<ShardId, DocumentEditor>()
    private val queries = OwnerQueries(host, ports.peers, ::owned)
    private val board =
        JobBoard(ports.store, ports.clock, ports.configuration, settings, queries) {
            owners().associate { it.id to it.snapshot().document }
        }
    private val owners = OwnerWatch(
        ports.store,
        ShardId.ownersPrefix(zone),
        loops.map { it.id.ownerKey }.toSet(),
        ::onOwnerSeen
    )

    /** The workers of every availability zone. */
    @Volatile
    private var everyListed = emptyList<ListedHost>()

    /** The list that the shards know. */
    private var lastListed: List<ListedHost>? = null

    init {
        BatchMeters(ports.meters).watch(loops)
    }

    override fun start() {
        queries.start()
        loops.forEach { it.start() }
        ports.configuration.onApplied(::onConfiguration)
        every(LIST_PERIOD_MILLIS, ::listWorkers)
        every(settings.ownerLeaseMillis, ::readForeignChanges)
        if (settings.shards > 1) every(BALANCE_PERIOD_MILLIS, balancer::step)
        every(settings.ownerLeaseMillis / 2, ::watchOwners)
    }

    override fun stop() {
        timer.shutdownNow()
        owners.close()
        loops.forEach { it.post(ShardEvent.ReleaseRequested) }
        val handedOver = loops.map { it.stop(HAND_OVER_MILLIS) }.all { it }
        Logger.info("event=stopped step=hand-over-shards peer=$host complete=$handedOver")
        calls.shutdown()
        calls.awaitTermination(HAND_OVER_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun jobs(team: String?): List<JobView> = board.jobs(team)

    override fun cancel(team: String, job: String, operator: String): Either<ErrorView, JobView> {
        val key = JobKey(team, job)
        val (id, view) = board.recordedOrNull(key)
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

    override fun whyNeverFits(team: String, job: Job, quota: Quota): String? {
        DocumentSpace.sizeRejection(job.toRecord(team))?.let { return it }
        val shard = settings.shardOf(team, job)
        val workers = everyListed.filter { it.availabilityZone == shard.availabilityZone }
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
        ShardMachine(settings.forShard(host, writer)),
        ShardPorts(
            ports.store,
            ::workerPort,
            ports.problems,
            ports.clock,
            calls,
            BatchMeters(ports.meters)
        )
    )

    private fun workerPort(name: String): WorkerPort? =
        listed[name]?.let { host -> workerPorts.computeIfAbsent(host, ports.worker) }

    private fun editor(id: ShardId) =
        editors.computeIfAbsent(id) { DocumentEditor(ports.store, it.documentKey, "$writer-edit") }

    private fun every(periodMillis: Long, action: () -> Unit) {
        timer.scheduleWithFixedDelay({ guarded(action) }, 0, periodMillis, TimeUnit.MILLISECONDS)
    }

    private fun guarded(action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            Logger.error(e, "event=failed step=batch-timer peer=$host")
        }
    }

    private fun onConfiguration(applied: AppliedConfiguration) {
        val team = applied.team
        val jobs = applied.configuration.jobs.groupBy { settings.shardOf(team, it) }
        val quotas = settings.quotaParts(applied.configuration)
        for (loop in loops) {
            val specs = jobs[loop.id].orEmpty().associate { it.name to it.toSpec() }
            val quota = quotas[loop.id]
            loop.post(ShardEvent.JobsListed(team, applied.revision, specs, quota))
        }
    }

    private fun listWorkers() {
        val hosts = ports.hosts.hosts().getOrNull() ?: return
        if (hosts === lastListed) return
        lastListed = hosts
        everyListed = hosts.filter { it.role == HostRole.WORKER }
        val workers = everyListed.filter { it.availabilityZone == zone }
        workers.forEach { listed[it.name] = it }
        val byShard = workers.groupBy { settings.shardOf(it.name) }
        loops.forEach { it.post(ShardEvent.WorkersListed(byShard[it.id.number].orEmpty())) }
    }

    /** Watches while this host stands by for any shard. */
    private fun watchOwners() {
        if (loops.all { it.snapshot().isOwner }) owners.close() else owners.step()
    }

    private fun onOwnerSeen(ownerKey: String, isHeld: Boolean) {
        val loop = loops.firstOrNull { it.id.ownerKey == ownerKey } ?: return
        if (!loop.snapshot().isOwner) loop.post(ShardEvent.OwnerSeen(isHeld))
    }

    private fun readForeignChanges() {
        owners().forEach { it.post(ShardEvent.DocumentChanged) }
    }

    private fun owners(): List<ShardLoop> = loops.filter { it.snapshot().isOwner }

    private fun owned(team: String?) = owners().map { it.snapshot().owned(it.id, team) }

    private companion object {
        const val LIST_PERIOD_MILLIS = 1_000L
        const val BALANCE_PERIOD_MILLIS = 500L
        const val HAND_OVER_MILLIS = 5_000L
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
