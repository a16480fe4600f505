/**
 * Runs the scheduler of a worker set's owner.
 *
 * One thread owns the scheduler. Answers of workers, changes in the store and clock ticks reach it
 * through a queue; its actions are begun on that thread and never block it. A second thread writes
 * the records.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.MILLISECONDS
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.RecordBatch
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerAction
import sycamoremast.coordination.workflow.WorkerListing
import sycamoremast.coordination.workflow.WorkerRef
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowScheduler
import sycamoremast.daemon.log.EventLog

/** The surroundings of one term of ownership; [onDeposed] is called once it has to end. */
internal class SchedulerLoop(
    private val scheduler: WorkflowScheduler,
    private val runs: RunPort,
    private val writer: RecordWriter,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val meters: WorkflowMeters,
    private val isSoleOwner: () -> Boolean,
    private val onDeposed: (String) -> Unit
) : AutoCloseable {
    private val inbox = LinkedBlockingQueue<() -> Unit>()
    private val phases = ConcurrentHashMap<String, WorkflowPhase>()
    private val records = Executors.newSingleThreadExecutor { run ->
        Thread(run, "records").apply { isDaemon = true }
    }

    @Volatile
    private var isOpen = true

    @Volatile
    private var waiting: Map<String, Int>? = null
    private var nextCountMillis = Long.MIN_VALUE
    private var steppedMillis = Long.MIN_VALUE / 2
    private val thread = Thread(::run, "scheduler").apply { isDaemon = true }

    fun start() = apply { thread.start() }

    /** Returns the phase of the workflow [id], or null if this owner doesn't know it. */
    fun phaseOrNull(id: String): WorkflowPhase? = phases[id]

    /** Returns the number of workflows of [queue] without a started task, or null until known. */
    fun waitingOfOrNull(queue: String): Int? = waiting?.let { it[queue] ?: 0 }

    fun accepted(workflow: Workflow, progress: WorkflowProgress?, isRecovered: Boolean) = tell {
        phases.putIfAbsent(workflow.id, progress?.phase ?: WorkflowPhase.QUEUED)
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered, now(), unix())
    }

    fun cancelled(id: String) = tell { scheduler.onWorkflowCancelled(id, now(), unix()) }

    fun listed(workers: List<WorkerListing>) = tell { scheduler.onWorkersListed(workers, now()) }

    fun listed(worker: WorkerListing) = tell { scheduler.onWorkerListed(worker, now()) }

    fun unlisted(id: String) = tell { scheduler.onWorkerUnlisted(id) }

    fun rostered(worker: WorkerRef, lapsedByMillis: Long) = tell {
        scheduler.addRosteredWorker(worker, lapsedByMillis)
    }

    fun policies(queues: Map<String, QueuePolicy>) = tell { scheduler.updateQueuePolicies(queues) }

    /** Ends the term before anything that is told later is acted on. */
    fun superseded(reason: String) = tell { deposed(reason) }

    private fun tell(message: () -> Unit) {
        inbox += message
    }

    private fun now() = clock.nowMillis()

    private fun unix() = System.currentTimeMillis()

    private fun run() {
        while (isOpen) {
            try {
                val first = inbox.poll(scheduler.waitMillis(now()), MILLISECONDS)
                first?.invoke()
                gather()
                while (isOpen) (inbox.poll() ?: break).invoke()
                if (isOpen) step()
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("scheduler-error", "error" to e, "at" to e.stackTrace.firstOrNull())
                deposed("scheduler error")
            }
        }
    }

    /** What comes close together is decided on together. */
    private fun gather() {
        val tooEarly = steppedMillis + LEAST_STEP_MILLIS - now()
        if (tooEarly > 0) Thread.sleep(tooEarly)
    }

    private fun step() {
        steppedMillis = now()
        scheduler.step(steppedMillis, unix(), isSoleOwner()).forEach(::begin)
        if (steppedMillis < nextCountMillis) return
        nextCountMillis = steppedMillis + COUNT_MILLIS
        waiting = scheduler.waitingByQueue()
    }

    private fun begin(action: SchedulerAction) {
        when (action) {
            is SchedulerAction.Start -> runs.start(action.order) {
                tell { scheduler.onStartAnswer(action.order, it, now()) }
            }

            is SchedulerAction.Stop -> runs.stop(action.order) {
                tell { scheduler.onStopAnswer(action.order, it, now()) }
            }

            is SchedulerAction.Poll -> runs.poll(action.order) {
                tell { scheduler.onPollAnswer(action.order, it, now()) }
            }

            is SchedulerAction.Pace -> runs.pace(action.order) {
                tell { scheduler.onPaceAnswer(action.order, it, now()) }
            }

            is SchedulerAction.Record -> records.execute { record(action.batch) }

            is SchedulerAction.Depose -> deposed("worker ${action.worker.id} has a higher epoch")

            is SchedulerAction.Log -> {
                meters.decided(action.event)
                val fields = listOf("id" to action.event.id) + action.event.fields.toList()
                log.add(action.event.name, fields)
            }
        }
    }

    private fun record(batch: RecordBatch) {
        try {
            if (writer.write(batch) { isOpen }) {
                tell { scheduler.onBatchDurable().forEach { (id, phase) -> phases[id] = phase } }
            } else {
                deposed("records refused")
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun deposed(reason: String) {
        if (!isOpen) return
        isOpen = false
        onDeposed(reason)
    }

    /** Stops scheduling; runs on workers go on under their leases. */
    override fun close() {
        isOpen = false
        thread.interrupt()
        records.shutdownNow()
    }

    /**
     * Stops once what was decided until now, and what the next owner needs, is recorded, or after
     * [limitMillis].
     */
    fun closeRecorded(limitMillis: Long) {
        isOpen = false
        thread.join(limitMillis)
        if (!thread.isAlive) records.execute { handOver(limitMillis) }
        records.shutdown()
        records.awaitTermination(limitMillis, MILLISECONDS)
        close()
    }

    private fun handOver(limitMillis: Long) {
        val until = now() + limitMillis
        try {
            val isWritten = writer.write(scheduler.handoverBatch(now())) { now() < until }
            log.add("handed-over", "isRecorded" to isWritten)
        } catch (_: InterruptedException) {
            log.add("handed-over", "isRecorded" to false)
        }
    }

    private companion object {
        /** A step looks at all that waits; a start or an end is not the less in time for it. */
        const val LEAST_STEP_MILLIS = 4L
        const val COUNT_MILLIS = 100L
    }
}
