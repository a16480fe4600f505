/** Runs one shard's state machine on a thread of its own and carries out its actions. */
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

/** What a shard's loop calls. */
internal data class ShardPorts(
    val store: KeyValueStore,
    val workers: (String) -> WorkerPort?,
    val problems: ProblemReporter,
    val clock: MonotonicClock,
    val executor: ExecutorService,
    val meters: BatchMeters
)

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
    private var stopped = false

    fun start() = thread.start()

    fun post(event: ShardEvent) {
        events += event
    }

    fun snapshot(): ShardSnapshot = snapshot

    /** Hands the shard over; returns whether that was done within [timeoutMillis]. */
    fun stop(timeoutMillis: Long): Boolean {
        post(ShardEvent.ReleaseRequested)
        thread.join(timeoutMillis)
        stopped = true
        return !thread.isAlive
    }

    private fun run() {
        while (!stopped && !snapshot.isReleased) {
            val event = events.poll(waitMillis(), TimeUnit.MILLISECONDS) ?: ShardEvent.Tick
            step(event)
        }
    }

    /** Returns how long to wait for an event before time itself requires a step. */
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

    /** A snapshot costs time in proportion to the jobs, so it is not taken after every event. */
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
