/** Runs the state machine of one shard on a dedicated thread and carries out its actions. */
package sycamoremast.daemon.batch

import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.WorkerPort
import sycamoremast.coordination.shard.ShardAction
import sycamoremast.coordination.shard.ShardCalls
import sycamoremast.coordination.shard.ShardEvent
import sycamoremast.coordination.shard.ShardLocation
import sycamoremast.coordination.shard.ShardMachine
import sycamoremast.coordination.shard.ShardSnapshot
import sycamoremast.daemon.control.ProblemKind
import sycamoremast.daemon.control.ProblemReporter

/** The services that the loop of a shard depends on. */
internal data class ShardPorts(
    val store: KeyValueStore,
    val workers: (String) -> WorkerPort?,
    val problems: ProblemReporter,
    val clock: MonotonicClock,
    val executor: ExecutorService,
    val meters: BatchMeters
)

/**
 * Passes posted events and timer ticks to [machine], one at a time.
 *
 * Calls that the machine requests run on the executor of [ports]; their results are posted back.
 */
internal class ShardLoop(
    val id: ShardId,
    private val settings: BatchSettings,
    private val machine: ShardMachine,
    private val ports: ShardPorts
) {
    private val events = LinkedBlockingQueue<ShardEvent>()
    private val calls = ShardCalls(
        ShardLocation(id.ownerKey, id.documentKey, settings.ownerLeaseMillis.milliseconds),
        ports.store,
        ports.workers
    )
    private val thread = Thread(::run, "shard-$id").apply { isDaemon = true }

    @Volatile
    private var snapshot = machine.snapshot()

    private var snapshotMillis = Long.MIN_VALUE / 2
    private var isSnapshotStale = false

    @Volatile
    private var isStopped = false

    fun start() = thread.start()

    fun post(event: ShardEvent) {
        events += event
    }

    fun snapshot(): ShardSnapshot = snapshot

    /** Hands over the shard and stops; returns whether that completed within [timeoutMillis]. */
    fun stop(timeoutMillis: Long): Boolean {
        post(ShardEvent.ReleaseRequested)
        thread.join(timeoutMillis)
        isStopped = true
        return !thread.isAlive
    }

    private fun run() {
        while (!isStopped && !snapshot.isReleased) {
            val event = events.poll(waitMillis(), TimeUnit.MILLISECONDS) ?: ShardEvent.Tick
            step(event)
        }
    }

    /** Returns how long to wait for an event before a timer or a stale snapshot is due. */
    private fun waitMillis(): Long {
        val snapshotDue = if (isSnapshotStale) snapshotMillis else Long.MAX_VALUE
        val due = minOf(machine.wakeMillis, snapshotDue) - ports.clock.nowMillis()
        return due.coerceIn(ShardMachine.MIN_TICK_INTERVAL_MILLIS, settings.heartbeatMillis)
    }

    private fun step(event: ShardEvent) {
        try {
            val now = ports.clock.nowMillis()
            val actions = machine.handle(event, now)
            refreshSnapshot(now)
            actions.forEach(::carryOut)
        } catch (e: RuntimeException) {
            Logger.error(e, "event=failed step=shard-event peer=$id")
        }
    }

    /** Limits the rate of snapshots, as the cost of one is linear in the number of jobs. */
    private fun refreshSnapshot(nowMillis: Long) {
        isSnapshotStale = nowMillis < snapshotMillis + ShardMachine.MIN_TICK_INTERVAL_MILLIS
        if (isSnapshotStale) return
        snapshotMillis = nowMillis
        snapshot = machine.snapshot()
    }

    private fun carryOut(action: ShardAction) {
        when (action) {
            is ShardAction.ReportUnknown ->
                ports.problems.raise(ProblemKind.UNKNOWN, action.subject, action.evidence)

            is ShardAction.Note -> Logger.info(
                "event=shard step=${action.step} peer=${action.peer} shard=$id " +
                    "detail=\"${action.detail}\""
            )

            else -> ports.executor.execute { call(action)?.let(::post) }
        }
    }

    private fun call(action: ShardAction): ShardEvent? {
        ports.meters.count(action)
        return calls.call(action)
    }
}
