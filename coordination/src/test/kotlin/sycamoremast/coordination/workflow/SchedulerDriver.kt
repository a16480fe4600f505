package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

/** Plays the surroundings of a scheduler by hand; workers answer only where a test says so. */
internal class SchedulerDriver(epoch: Long = 1) {
    val scheduler = WorkflowScheduler(epoch, SchedulerSettings())
    var now = 1_000L
    val actions = ArrayList<SchedulerAction>()

    /** Whether the owner's lease in the store is valid. */
    var isSoleOwner = true

    /** Whether each batch is durable at once. */
    var recordsAtOnce = true

    val starts get() = actions.filterIsInstance<SchedulerAction.Start>().map { it.order }
    val stops get() = actions.filterIsInstance<SchedulerAction.Stop>().map { it.order }

    /** Polls that wait for an answer. */
    val polls get() = pendingPolls.toList()
    private val pendingPolls = ArrayList<PollOrder>()
    val records get() = actions.filterIsInstance<SchedulerAction.Record>().map { it.batch }

    /** Lets [millis] pass and returns what the scheduler asks for now, earlier asks forgotten. */
    fun step(millis: Long = 50): List<SchedulerAction> {
        now += millis
        actions.clear()
        actions += scheduler.step(now, now, isSoleOwner)
        pendingPolls += actions.filterIsInstance<SchedulerAction.Poll>().map { it.order }
        if (recordsAtOnce) records.forEach { _ -> scheduler.onBatchDurable() }
        return actions
    }

    /** Lists [ids] as workers and answers their first polls and the roster's record. */
    fun workers(vararg ids: String) {
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

    /** Answers all polls with empty reports and all records as durable, some rounds long. */
    fun settle() = repeat(4) {
        step()
        polls.forEach { report(it) }
    }

    /** As [settle], with all starts answered as carried out. */
    fun settleStarts() = repeat(4) {
        step()
        starts.forEach(::done)
        polls.forEach { report(it) }
    }

    fun report(
        order: PollOrder,
        running: List<RunningRow> = emptyList(),
        ended: List<EndedRow> = emptyList(),
        born: Long = 1
    ) = answer(order, WorkerAnswer.Reported(WorkerReport(now, born, now, running, ended)))

    fun answer(order: PollOrder, answer: WorkerAnswer) {
        pendingPolls -= order
        scheduler.onPollAnswer(order, answer, now)
    }

    /** Returns a poll of [worker] that was sent after this call; earlier ones are answered empty. */
    fun freshPoll(worker: String): PollOrder {
        val from = now
        repeat(MOST_STEPS) {
            step()
            polls.find { it.worker.id == worker && it.sentMillis > from }?.let { return it }
            polls.forEach { report(it) }
        }
        error("no poll of $worker")
    }

    private companion object {
        const val MOST_STEPS = 50
    }

    fun done(order: StartOrder) = scheduler.onStartAnswer(order, WorkerAnswer.Done(now, now), now)

    fun submit(workflow: Workflow, isRecovered: Boolean = false) =
        scheduler.onWorkflowAccepted(workflow, null, isRecovered, now, now)

    fun workflow(
        id: String = "job",
        vararg steps: WorkflowStep = arrayOf(tasks()),
        maxAttempts: Int = 2
    ) = Workflow(
        id,
        QueuePolicy("queue", "service", maxAttempts = maxAttempts),
        "payload",
        steps.toList(),
        submittedMillis = now
    )

    fun tasks(count: Int = 1, after: List<Int> = emptyList()) =
        WorkflowStep(count, Resources(1_000, 1_000), after = after)
}
