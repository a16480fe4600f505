package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

/** Drives a scheduler step by step; workers answer only when a test makes them. */
internal class SchedulerDriver(
    epoch: Long = 1,
    guardsCapacity: Boolean = true,
    settings: SchedulerSettings = SchedulerSettings()
) {
    val scheduler = WorkflowScheduler(epoch, settings)
        .apply { if (guardsCapacity) updatePolicies(emptyMap(), setOf("service")) }
    var now = 1_000L
    val actions = ArrayList<SchedulerAction>()

    /** Whether the owner's lease in the store is valid. */
    var isSoleOwner = true

    /** Whether each batch becomes durable at once. */
    var areRecordsDurableAtOnce = true

    val starts get() = actions.filterIsInstance<SchedulerAction.Start>().map { it.order }
    val stops get() = actions.filterIsInstance<SchedulerAction.Stop>().map { it.order }

    /** The polls without an answer so far. */
    val polls get() = pendingPolls.toList()
    private val pendingPolls = ArrayList<PollOrder>()
    val records get() = actions.filterIsInstance<SchedulerAction.Record>().map { it.batch }

    /**
     * Advances time by [millis] and returns the actions due then, which replace earlier ones, with
     * those that records of workflows allow which become durable at once.
     */
    fun step(millis: Long = 50): List<SchedulerAction> {
        now += millis
        actions.clear()
        actions += scheduler.step(now, now, isSoleOwner)
        if (areRecordsDurableAtOnce && records.isNotEmpty()) {
            val hasProgress = records.any { it.progress.isNotEmpty() }
            scheduler.onBatchDurable()
            if (hasProgress) actions += scheduler.step(now, now, isSoleOwner)
        }
        pendingPolls += actions.filterIsInstance<SchedulerAction.Poll>().map { it.order }
        return actions
    }

    /** Lists [ids] as workers, answers their first polls and makes the roster durable. */
    fun listWorkers(vararg ids: String) {
        scheduler.onWorkersListed(ids.map(::listing), now)
        settle()
    }

    fun listing(id: String, isDraining: Boolean = false) = WorkerListing(
        ref(id),
        "service",
        "zone",
        Resources(32_000, 128_000),
        listOf("rack-1"),
        isDraining
    )

    fun ref(id: String) = WorkerRef(id, "10.0.0.1:$id")

    /** Steps a few times, answering polls with empty reports. */
    fun settle() = repeat(4) {
        step()
        polls.forEach { report(it) }
    }

    /** Steps like [settle], confirming all starts. */
    fun settleWithStarts() = repeat(4) {
        step()
        starts.forEach(::confirmStart)
        polls.forEach { report(it) }
    }

    fun report(
        order: PollOrder,
        running: List<RunningRow> = emptyList(),
        ended: List<EndedRow> = emptyList(),
        started: Long = 1
    ) = answer(
        order,
        WorkerAnswer.Reported(WorkerReport(now, started, now, running, ended))
    )

    fun answer(order: PollOrder, answer: WorkerAnswer) {
        pendingPolls -= order
        scheduler.onPollAnswer(order, answer, now)
    }

    /** Returns a poll of [worker] sent after this call; others get empty reports. */
    fun freshPoll(worker: String): PollOrder {
        val from = now
        repeat(MAX_STEPS) {
            step()
            polls.find { it.worker.id == worker && it.sentMillis > from }?.let { return it }
            polls.forEach { report(it) }
        }
        error("no poll of $worker")
    }

    private companion object {
        const val MAX_STEPS = 50
    }

    fun confirmStart(order: StartOrder) =
        scheduler.onStartAnswer(order, WorkerAnswer.Done(now, now), now)

    fun submit(
        workflow: Workflow,
        isRecovered: Boolean = false,
        progress: WorkflowProgress? = null
    ) = scheduler.onWorkflowAccepted(workflow, progress, isRecovered, now, now)

    fun workflow(
        id: String = "job",
        vararg steps: WorkflowStep = arrayOf(taskStep()),
        maxAttempts: Int = 2
    ) = Workflow(
        id,
        QueuePolicy("queue", "service", maxAttempts = maxAttempts),
        "payload",
        steps.toList(),
        submittedMillis = now
    )

    fun taskStep(count: Int = 1, after: List<Int> = emptyList()) =
        WorkflowStep(count, Resources(1_000, 1_000), after = after)
}
