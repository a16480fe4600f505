/**
 * Runs the scheduler of a worker set's owner.
 *
 * The scheduler is confined to one thread, which receives workers' answers and changes in the store
 * through a queue and wakes at the times that the scheduler asks for. Actions are started
 * on that thread and never block it. A second thread writes the records.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.MILLISECONDS
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.InterferenceRecord
import sycamoremast.coordination.workflow.RecordBatch
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerAction
import sycamoremast.coordination.workflow.Succession
import sycamoremast.coordination.workflow.WorkerListing
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowScheduler
import sycamoremast.coordination.workflow.WorkflowStatus
import sycamoremast.daemon.log.EventLog

/** Runs [scheduler] for one term of ownership; [onDeposed] is called when the term has to end. */
internal class SchedulerLoop(
    private val scheduler: WorkflowScheduler,
    private val runs: RunPort,
    private val writer: RecordWriter,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val meters: WorkflowMeters,
    private val leaseState: () -> LeaseState,
    private val standbys: StandbyLinks = StandbyLinks.None,
    private val onDeposed: (String) -> Unit
) : AutoCloseable {
    private val inbox = LinkedBlockingQueue<() -> Unit>()
    private val statuses = ConcurrentHashMap<String, WorkflowStatus>()

    /** The workflows that the owner has deleted, of which it keeps nothing once it sees that. */
    val deletions = UnseenDeletions { id ->
        val status = statuses[id]
        if (status?.phase?.isFinal == false) {
            log.add("job-deleted", "id" to id, "status" to status)
        } else if (status != null) {
            statuses -= id
            enqueue { scheduler.onWorkflowDeleted(id) }
        }
    }
    private val records = Executors.newSingleThreadExecutor { run ->
        Thread(run, "records").apply { isDaemon = true }
    }

    @Volatile
    private var isOpen = true

    @Volatile
    private var waitingCounts: Map<String, Int>? = null
    private var nextCountMillis = Long.MIN_VALUE

    /** When the last heartbeat was formed that all standbys have acknowledged, or null. */
    @Volatile
    var confirmedMillis: Long? = null
        private set
    private var lastStepMillis = Long.MIN_VALUE / 2
    private val thread = Thread(::run, "scheduler").apply { isDaemon = true }

    /** The epoch of the term. */
    val epoch: Long get() = scheduler.epoch

    /** Whether the hand-over was recorded, or null before a planned end. */
    @Volatile
    private var isHandedOver: Boolean? = null

    /**
     * What the term leaves behind once it is closed, or null if the scheduler's thread doesn't end
     * in time.
     */
    fun endOrNull(): TermEnd? {
        thread.join(JOIN_TIMEOUT_MILLIS)
        if (thread.isAlive) return null
        val succession = scheduler.succession
        return TermEnd(
            succession.durableMillis,
            succession.confirmedMillis,
            succession.leaseEnds(),
            isHandedOver
        )
    }

    fun start() = apply { thread.start() }

    /** Returns the status of the workflow [id], or null if the scheduler doesn't know it. */
    fun statusOrNull(id: String): WorkflowStatus? = statuses[id]

    /**
     * Returns the number of workflows of [queue] without a started task, or null before the first
     * count.
     */
    fun waitingCountOrNull(queue: String): Int? = waitingCounts?.let { it[queue] ?: 0 }

    /** Adds an accepted workflow; [isRecovered] means that it was accepted before this term. */
    fun addWorkflow(workflow: Workflow, progress: WorkflowProgress?, isRecovered: Boolean) =
        enqueue {
            statuses.putIfAbsent(workflow.id, progress?.status ?: QUEUED)
            scheduler.onWorkflowAccepted(
                workflow,
                progress,
                isRecovered,
                clock.nowMillis(),
                unixMillis()
            )
        }

    /** Adds the workflow [id], which ended in an earlier term as [progress] tells. */
    fun addEndedWorkflow(id: String, progress: WorkflowProgress) = enqueue {
        statuses.putIfAbsent(id, progress.status)
        scheduler.onEndedWorkflow(id, progress, clock.nowMillis(), unixMillis())
    }

    fun cancelWorkflow(id: String) = enqueue {
        scheduler.onWorkflowCancelled(id, clock.nowMillis(), unixMillis())
    }

    fun updateWorkers(workers: List<WorkerListing>) = enqueue {
        scheduler.onWorkersListed(workers, clock.nowMillis())
    }

    fun updateWorker(worker: WorkerListing) = enqueue {
        scheduler.onWorkerListed(worker, clock.nowMillis())
    }

    /** Confirms that all changes of the workers up to [asOfMillis] were passed on. */
    fun confirmWorkers(asOfMillis: Long) = enqueue { scheduler.onWorkersConfirmed(asOfMillis) }

    fun removeWorker(id: String) = enqueue { scheduler.onWorkerUnlisted(id) }

    /** Passes a message of another host, or what is inherited from the last owner, with the time. */
    fun updateSuccession(input: Succession.(nowMillis: Long) -> Unit) = enqueue {
        scheduler.succession.input(clock.nowMillis())
    }

    /** Adds what an earlier owner has learned about interference between tasks. */
    fun restoreInterference(record: InterferenceRecord) = enqueue {
        scheduler.restoreInterference(record, unixMillis())
    }

    /** Applies the policies of [table]. */
    fun updateRouting(table: RoutingTable) = enqueue {
        scheduler.updatePolicies(table.queues, table.guardingServices)
    }

    /** Ends the term before anything that is enqueued later is processed. */
    fun depose(reason: String) = enqueue { endTerm(reason) }

    private fun enqueue(input: () -> Unit) {
        inbox += input
    }

    private fun run() {
        while (isOpen) {
            try {
                val first = inbox.poll(scheduler.waitMillis(clock.nowMillis()), MILLISECONDS)
                first?.invoke()
                // Inputs that arrive within a short time are handled in one step.
                val dueMillis = lastStepMillis + MIN_STEP_INTERVAL_MILLIS
                Thread.sleep((dueMillis - clock.nowMillis()).coerceAtLeast(0))
                while (isOpen) (inbox.poll() ?: break).invoke()
                if (isOpen) step()
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("scheduler-error", "error" to e, "at" to e.stackTrace.firstOrNull())
                endTerm("scheduler error")
            } catch (e: Error) {
                endTerm("scheduler error")
                throw e
            }
        }
    }

    private fun step() {
        // The clock is read before the lease's state, so that orders of this step are in time.
        lastStepMillis = clock.nowMillis()
        val lease = leaseState()
        if (lease == LeaseState.OVER) return endTerm("lease ended long ago")
        val isSoleOwner = lease == LeaseState.VALID
        val isCountDue = lastStepMillis >= nextCountMillis
        val registered = if (isCountDue) standbys.registeredProcesses else emptySet()
        if (registered.isNotEmpty()) {
            scheduler.succession.onHostsRegistered(standbys.self, registered, lastStepMillis)
        }
        scheduler.step(lastStepMillis, unixMillis(), isSoleOwner).forEach(::execute)
        confirmedMillis = scheduler.succession.confirmedMillis
        if (!isCountDue) return
        nextCountMillis = lastStepMillis + COUNT_INTERVAL_MILLIS
        waitingCounts = scheduler.waitingByQueue()
    }

    private fun execute(action: SchedulerAction) {
        when (action) {
            is SchedulerAction.Start -> runs.start(action.order) {
                enqueue { scheduler.onStartAnswer(action.order, it, clock.nowMillis()) }
            }

            is SchedulerAction.Stop -> runs.stop(action.order) {
                enqueue { scheduler.onStopAnswer(action.order, it, clock.nowMillis()) }
            }

            is SchedulerAction.Poll -> runs.poll(action.order) {
                enqueue { scheduler.onPollAnswer(action.order, it, clock.nowMillis()) }
            }

            is SchedulerAction.Pace -> runs.pace(action.order) {
                enqueue { scheduler.onPaceAnswer(action.order, it, clock.nowMillis()) }
            }

            is SchedulerAction.Record -> records.execute { writeRecords(action.batch) }

            is SchedulerAction.Announce -> standbys.announce(action)

            is SchedulerAction.AskStandbys -> standbys.ask(action)

            is SchedulerAction.Depose -> endTerm("worker ${action.worker.id} has a higher epoch")

            is SchedulerAction.Log -> {
                meters.countDecision(action.event)
                val fields = listOf("id" to action.event.id) + action.event.fields.toList()
                log.add(action.event.name, fields)
            }
        }
    }

    private fun writeRecords(batch: RecordBatch) {
        try {
            if (writer.write(batch) { isOpen }) {
                deletions.add(batch.forgotten.map { it.id }, writer.revision)
                enqueue {
                    for ((id, status) in scheduler.onBatchDurable()) {
                        meters.countFailure(statuses.put(id, status), status)
                    }
                }
            } else {
                endTerm("records refused")
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        } catch (e: RuntimeException) {
            // Without the answer to this batch no other is formed, so another owner has to go on.
            log.add("records-error", "error" to e, "at" to e.stackTrace.firstOrNull())
            endTerm("records error")
        } catch (e: Error) {
            endTerm("records error")
            throw e
        }
    }

    private fun endTerm(reason: String) {
        if (!isOpen) return
        isOpen = false
        onDeposed(reason)
    }

    /** Stops scheduling; runs on workers continue under their leases. */
    override fun close() {
        isOpen = false
        thread.interrupt()
        records.shutdownNow()
    }

    /**
     * Stops scheduling, then writes the outstanding records and the hand-over for the next owner.
     *
     * Waits at most [limitMillis] for the scheduler thread and as long again for the records.
     */
    fun closeAfterRecording(limitMillis: Long) {
        isOpen = false
        isHandedOver = false
        thread.join(limitMillis)
        if (!thread.isAlive) records.execute { handOver(limitMillis) }
        records.shutdown()
        records.awaitTermination(limitMillis, MILLISECONDS)
        close()
    }

    private fun handOver(limitMillis: Long) {
        val deadlineMillis = clock.nowMillis() + limitMillis
        try {
            val batch = scheduler.handoverBatch(clock.nowMillis(), unixMillis())
            val isRecorded = writer.write(batch) { clock.nowMillis() < deadlineMillis }
            isHandedOver = isRecorded
            log.add(
                "handed-over",
                "isRecorded" to isRecorded,
                "hasRoster" to (batch.roster != null)
            )
        } catch (_: InterruptedException) {
            log.add("handed-over", "isRecorded" to false)
        }
    }

    private companion object {
        /** Each step examines all waiting work; this interval delays no start or end noticeably. */
        const val MIN_STEP_INTERVAL_MILLIS = 4L
        const val COUNT_INTERVAL_MILLIS = 100L

        /** Several times as long as a step takes. */
        const val JOIN_TIMEOUT_MILLIS = 200L
        val QUEUED = WorkflowStatus(WorkflowPhase.QUEUED)
    }
}

private fun unixMillis() = System.currentTimeMillis()
