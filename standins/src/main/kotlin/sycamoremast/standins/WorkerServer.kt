/**
 * A stand-in for the platform's workers; one server can host many of them.
 *
 * Worker n is served under `/w/n`, the first one also without that prefix: `POST renew`,
 * `POST start` and `POST control` exchange the coordination module's types as JSON. The status is
 * 409 for a stale epoch and 422 for a refusal. `GET history` lists all runs, `POST faults` replaces
 * the active faults. `GET /history` without a prefix covers all workers of the server.
 */
package sycamoremast.standins

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit.MILLISECONDS
import kotlinx.serialization.Serializable
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction

/** The body of a control call. */
@Serializable
data class ControlOrder(val taskId: String, val epoch: Long, val action: TaskAction)

/** The response to a stale epoch, with the highest epoch that the worker has seen. */
@Serializable
data class StaleEpochBody(val currentEpoch: Long)

/** The response to a refused call. */
@Serializable
data class RefusalBody(val reason: String)

/**
 * The injected faults of one worker.
 *
 * [failEveryTask] fails each task soon after its start; [freeze] holds back all responses, though
 * the calls take effect; [unreachable] closes connections before a call takes effect; [refuse]
 * refuses each start; [slowMillis] delays each call; [restart] drops all tasks immediately, once.
 */
@Serializable
data class WorkerFaults(
    val failEveryTask: Boolean = false,
    val freeze: Boolean = false,
    val unreachable: Boolean = false,
    val refuse: Boolean = false,
    val slowMillis: Long = 0,
    val restart: Boolean = false
)

/** The settings of a server: its port and the number and the properties of its workers. */
data class WorkerSettings(
    val port: Int = 0,
    val workers: Int = 1,
    val name: String = "worker",
    val rack: String = "rack-0",
    val capacity: Resources = Resources(milliCpus = 32_000, memoryMib = 128_000),
    val usageLagMillis: Long = 500,
    val longestLeaseMillis: Long = 10_000
)

/** A running server of workers. */
class WorkerServer private constructor(settings: WorkerSettings) : AutoCloseable {
    private val clock = MonotonicClock.system()
    private val workers = List(settings.workers) { Worker(it, settings) }

    @Volatile
    private var closed = false

    private val ticker = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "worker-tasks").apply { isDaemon = true }
    }
    private val server = StandInServer("worker", settings.port, handle = ::handle)

    /** The port that the server listens on. */
    val port: Int get() = server.port

    private inner class Worker(index: Int, settings: WorkerSettings) {
        val state = WorkerState(
            WorkerProfile(
                if (settings.workers == 1) settings.name else "${settings.name}-$index",
                settings.rack,
                settings.capacity,
                settings.usageLagMillis,
                settings.longestLeaseMillis
            ),
            clock.nowMillis()
        )

        @Volatile
        var faults = WorkerFaults()
    }

    init {
        ticker.scheduleWithFixedDelay(::tick, TICK_MILLIS, TICK_MILLIS, MILLISECONDS)
    }

    /** Returns the address of worker [index], including its path. */
    fun address(index: Int = 0): String = "127.0.0.1:$port/w/$index"

    /** Replaces the active faults of worker [index] with [faults]. */
    fun setFaults(faults: WorkerFaults, index: Int = 0) {
        val worker = workers[index]
        worker.faults = faults.copy(restart = false)
        worker.state.failEveryTask = faults.failEveryTask
        if (faults.restart) worker.state.restart(clock.nowMillis())
    }

    /** Returns all runs on the server's workers so far. */
    fun history(): List<RunRecord> = workers.flatMap { it.state.history() }

    override fun close() {
        closed = true
        ticker.shutdownNow()
        server.close()
    }

    private fun tick() {
        try {
            workers.forEach { it.state.advance(clock.nowMillis()) }
        } catch (e: RuntimeException) {
            Logger.error(e, "event=tick-failed")
        }
    }

    private fun handle(call: Call) {
        if (call.path == "/history") return call.respond(history())
        val match = PREFIXED.matchEntire(call.path)
        val index = match?.groupValues?.get(1)?.toInt() ?: 0
        val action = match?.groupValues?.get(2) ?: call.path.removePrefix("/")
        val worker = workers.getOrNull(index)
        if (worker == null) {
            call.respond(RefusalBody("no worker $index"), Call.STATUS_NOT_FOUND)
            return
        }
        handle(call, worker, action, index)
    }

    private fun handle(call: Call, worker: Worker, action: String, index: Int) {
        when (action) {
            "history" -> call.respond(worker.state.history())
            "faults" -> {
                if (call.method == "POST") setFaults(call.read(), index)
                call.respond(worker.faults)
            }
            else -> serve(call, worker, action)
        }
    }

    private fun serve(call: Call, worker: Worker, action: String) {
        val faults = worker.faults
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (faults.unreachable) return call.abort()
        when (action) {
            "renew" -> {
                val renewal = call.read<LeaseRenewal>()
                respond(call, worker, worker.state.renew(renewal, clock.nowMillis()))
            }
            "start" -> {
                val order = call.read<StartOrder>()
                respond(call, worker, start(worker, order))
            }
            "control" ->
                respond(call, worker, worker.state.control(call.read(), clock.nowMillis()))
            else -> call.respond(RefusalBody("no such call: $action"), Call.STATUS_NOT_FOUND)
        }
    }

    private fun start(worker: Worker, order: StartOrder) = if (worker.faults.refuse) {
        WorkerResponse.Refused("worker refuses all tasks")
    } else {
        worker.state.start(order, clock.nowMillis())
    }

    private inline fun <reified T> respond(call: Call, worker: Worker, result: WorkerResponse<T>) {
        while (worker.faults.freeze && !closed) Thread.sleep(FREEZE_POLL_MILLIS)
        when (result) {
            is WorkerResponse.Done -> call.respond(result.value)
            is WorkerResponse.Stale ->
                call.respond(StaleEpochBody(result.currentEpoch), Call.STATUS_CONFLICT)
            is WorkerResponse.Refused ->
                call.respond(RefusalBody(result.reason), Call.STATUS_UNPROCESSABLE)
        }
    }

    companion object {
        private const val TICK_MILLIS = 10L
        private const val FREEZE_POLL_MILLIS = 20L
        private val PREFIXED = Regex("/w/(\\d+)/(\\w+)")

        /** Starts a server with the workers that [settings] describe. */
        fun start(settings: WorkerSettings = WorkerSettings()): WorkerServer =
            WorkerServer(settings)
    }
}
