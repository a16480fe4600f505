/**
 * A model of a worker and its protocol in virtual time, for tests of the scheduler under faults.
 *
 * It may restart under its ID. It then has lost all state, numbers its ends from 1 and starts its
 * clock from 0.
 */
package sycamoremast.coordination.workflow

/** The end of a run as done, and whether it was acknowledged before the lease lapsed. */
internal class DoneEnd(val task: TaskName, val number: Long, val atMillis: Long) {
    var isAcknowledged = false
    var acknowledgedMillis = 0L
}

internal class ModelWorker(
    val ref: WorkerRef,
    workMillis: Long,
    private val clockPerMille: Long = 1_000,
    private val maxLeaseMillis: Long = SchedulerSettings.DEFAULT_LEASE_MILLIS,
    private val workMillisOf: (TaskName) -> Long = { workMillis }
) {
    private class Run(val number: Int, val endsMillis: Long)

    private val runs = LinkedHashMap<TaskName, Run>()
    private val ends = ArrayList<EndedRow>()

    /** The highest run number of each task that was stopped or has ended on this worker. */
    private val highestFencedRuns = HashMap<TaskName, Int>()
    private val unacknowledged = ArrayList<DoneEnd>()
    private var lastEnd = 0L
    private var highestToken = 0L
    private var leaseEndMillis = 0L
    private var startedMillis = 0L
    val doneEnds = ArrayList<DoneEnd>()
    var isUp = true
        private set

    /** The number of this incarnation; an order in flight to an earlier one is lost. */
    var incarnation = 1
        private set
    val running: Set<TaskName> get() = runs.keys

    /** How many runs have ended as the lease lapsed, in all incarnations. */
    var lapsedRuns = 0
        private set

    fun crash() {
        isUp = false
        incarnation++
        runs.clear()
        ends.clear()
        highestFencedRuns.clear()
        unacknowledged.clear()
        lastEnd = 0
        highestToken = 0
    }

    fun restart(nowMillis: Long) {
        isUp = true
        startedMillis = nowMillis
        leaseEndMillis = 0
    }

    /** Ends the runs that are done or whose lease has lapsed by [nowMillis]. */
    fun advance(nowMillis: Long) {
        if (!isUp) return
        if (clock(nowMillis) > leaseEndMillis) {
            runs.keys.toList().forEach { end(it, RunEnd.LAPSED, nowMillis) }
            unacknowledged.clear()
        }
        runs.filterValues { it.endsMillis <= nowMillis }.keys.toList()
            .forEach { end(it, RunEnd.DONE, nowMillis) }
    }

    /** Ends the run of [task], as another member of its gang has ended. */
    fun breakRun(task: TaskName, nowMillis: Long) = end(task, RunEnd.BROKEN, nowMillis)

    private fun end(task: TaskName, how: RunEnd, nowMillis: Long) {
        val run = runs.remove(task) ?: return
        ends += EndedRow(++lastEnd, task, run.number, how, "")
        highestFencedRuns.merge(task, run.number, ::maxOf)
        if (how == RunEnd.LAPSED) lapsedRuns++
        if (how != RunEnd.DONE) return
        val end = DoneEnd(task, lastEnd, nowMillis)
        doneEnds += end
        unacknowledged += end
    }

    /** Carries out [order] and calls [onStart] if a run starts. */
    fun carryOut(order: WorkerOrder, nowMillis: Long, onStart: (TaskName) -> Unit): WorkerAnswer {
        advance(nowMillis)
        val token = order.fencingToken
        if (token < highestToken) return WorkerAnswer.Rejected(RejectReason.STALE_TOKEN)
        highestToken = token
        return when (order) {
            is StartOrder -> start(order, nowMillis, onStart)
            is StopOrder -> stop(order, nowMillis)
            is PollOrder -> poll(order, nowMillis)
            is PaceOrder -> done(nowMillis)
        }
    }

    private fun start(
        order: StartOrder,
        nowMillis: Long,
        onStart: (TaskName) -> Unit
    ): WorkerAnswer {
        if (order.leaseEndMillis <= clock(nowMillis)) {
            return WorkerAnswer.Rejected(RejectReason.LATE)
        }
        extendLease(order.leaseEndMillis, nowMillis)
        val current = runs[order.task]?.number
        if (current == order.run) return done(nowMillis)
        if (current != null || order.run <= (highestFencedRuns[order.task] ?: 0)) {
            return WorkerAnswer.Rejected(RejectReason.STALE_RUN)
        }
        runs[order.task] = Run(order.run, nowMillis + workMillisOf(order.task))
        onStart(order.task)
        return done(nowMillis)
    }

    private fun stop(order: StopOrder, nowMillis: Long): WorkerAnswer {
        highestFencedRuns.merge(order.task, order.run, ::maxOf)
        if (runs[order.task]?.number == order.run) end(order.task, RunEnd.STOPPED, nowMillis)
        return done(nowMillis)
    }

    private fun poll(order: PollOrder, nowMillis: Long): WorkerAnswer {
        order.leaseEndMillis?.let { extendLease(it, nowMillis) }
        return reported(order, nowMillis)
    }

    /** Returns what [order], which was carried out before and waits for an end, answers now. */
    fun answerWaiting(order: PollOrder, nowMillis: Long): WorkerAnswer {
        advance(nowMillis)
        return reported(order, nowMillis)
    }

    private fun reported(order: PollOrder, nowMillis: Long): WorkerAnswer {
        ends.removeAll { it.number <= order.acknowledgedEnd }
        unacknowledged.filter { it.number <= order.acknowledgedEnd }
            .forEach {
                it.isAcknowledged = true
                it.acknowledgedMillis = nowMillis
            }
        unacknowledged.removeAll { it.isAcknowledged }
        val rows = runs.map { (task, run) ->
            RunningRow(task, run.number, "", percent(task, run, nowMillis), null)
        }
        val report = WorkerReport(clock(nowMillis), startedMillis, 0, rows, ends.toList())
        return WorkerAnswer.Reported(report)
    }

    private fun percent(task: TaskName, run: Run, nowMillis: Long): Int {
        val leftMillis = run.endsMillis - nowMillis
        return (FULL_PERCENT - FULL_PERCENT * leftMillis / workMillisOf(task)).toInt()
    }

    private fun extendLease(untilMillis: Long, nowMillis: Long) {
        val most = clock(nowMillis) + maxLeaseMillis
        leaseEndMillis = maxOf(leaseEndMillis, minOf(untilMillis, most))
    }

    private fun done(nowMillis: Long) = WorkerAnswer.Done(clock(nowMillis), 0)

    private fun clock(nowMillis: Long) = (nowMillis - startedMillis) * clockPerMille / 1_000

    companion object {
        /** How often a poll that waits looks for the end of a run. */
        const val WAIT_STEP_MILLIS = 100L
        private const val FULL_PERCENT = 100L
    }
}

/** How long a worker may wait before it answers this order. */
internal val WorkerOrder.longestWaitMillis: Long
    get() = if (this is PollOrder) waitMillis else 0

/** Whether a poll with this answer waits for the end of a run first. */
internal val WorkerAnswer.waitsForEnd: Boolean
    get() = this is WorkerAnswer.Reported && report.ended.isEmpty()
