/**
 * A worker as its protocol describes it, in virtual time, for tests of the scheduler under faults.
 *
 * It may restart under its ID: it then knows nothing of before, and numbers its ends and reads its
 * clock from the beginning.
 */
package sycamoremast.coordination.workflow

/** An end as done, and whether it was acknowledged before the worker's lease lapsed. */
internal class DoneEnd(val task: TaskName, val number: Long, val atMillis: Long) {
    var isAcknowledged = false
    var acknowledgedMillis = 0L
}

internal class ModelWorker(
    val ref: WorkerRef,
    private val workMillis: Long,
    private val clockPerMille: Long = 1_000
) {
    private class Run(val number: Int, val endsMillis: Long)

    private val runs = LinkedHashMap<TaskName, Run>()
    private val ends = ArrayList<EndedRow>()

    /** The highest run of each task that was stopped or has ended here. */
    private val passed = HashMap<TaskName, Int>()
    private val unacknowledged = ArrayList<DoneEnd>()
    private var lastEnd = 0L
    private var epoch = 0L
    private var leaseEndMillis = 0L
    private var bornMillis = 0L
    val doneEnds = ArrayList<DoneEnd>()
    var isUp = true
        private set

    /** Which life this is; an order that was on its way to an earlier one is lost. */
    var life = 1
        private set
    val running: Set<TaskName> get() = runs.keys

    fun crash() {
        isUp = false
        life++
        runs.clear()
        ends.clear()
        passed.clear()
        unacknowledged.clear()
        lastEnd = 0
        epoch = 0
    }

    fun restart(nowMillis: Long) {
        isUp = true
        bornMillis = nowMillis
        leaseEndMillis = 0
    }

    /** Ends what is due by [nowMillis]. */
    fun advance(nowMillis: Long) {
        if (!isUp) return
        if (clock(nowMillis) > leaseEndMillis) {
            runs.keys.toList().forEach { end(it, RunEnd.LAPSED, nowMillis) }
            unacknowledged.clear()
        }
        runs.filterValues { it.endsMillis <= nowMillis }.keys.toList()
            .forEach { end(it, RunEnd.DONE, nowMillis) }
    }

    private fun end(task: TaskName, how: RunEnd, nowMillis: Long) {
        val run = runs.remove(task) ?: return
        ends += EndedRow(++lastEnd, task, run.number, how, "")
        passed.merge(task, run.number, ::maxOf)
        if (how != RunEnd.DONE) return
        val end = DoneEnd(task, lastEnd, nowMillis)
        doneEnds += end
        unacknowledged += end
    }

    /** Carries [order] out; [onStart] is told of a run that begins. */
    fun carryOut(order: WorkerOrder, nowMillis: Long, onStart: (TaskName) -> Unit): WorkerAnswer {
        advance(nowMillis)
        val orderEpoch = when (order) {
            is StartOrder -> order.epoch
            is StopOrder -> order.epoch
            is PaceOrder -> order.epoch
            is PollOrder -> order.epoch
        }
        if (orderEpoch < epoch) return WorkerAnswer.Rejected(RejectReason.STALE_EPOCH)
        epoch = orderEpoch
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
        prolong(order.leaseEndMillis, nowMillis)
        val current = runs[order.task]?.number
        if (current == order.run) return done(nowMillis)
        if (current != null || order.run <= (passed[order.task] ?: 0)) {
            return WorkerAnswer.Rejected(RejectReason.STALE_RUN)
        }
        runs[order.task] = Run(order.run, nowMillis + workMillis)
        onStart(order.task)
        return done(nowMillis)
    }

    private fun stop(order: StopOrder, nowMillis: Long): WorkerAnswer {
        passed.merge(order.task, order.run, ::maxOf)
        if (runs[order.task]?.number == order.run) end(order.task, RunEnd.STOPPED, nowMillis)
        return done(nowMillis)
    }

    private fun poll(order: PollOrder, nowMillis: Long): WorkerAnswer {
        order.leaseEndMillis?.let { prolong(it, nowMillis) }
        ends.removeAll { it.number <= order.acknowledgedEnd }
        unacknowledged.filter { it.number <= order.acknowledgedEnd }
            .forEach {
                it.isAcknowledged = true
                it.acknowledgedMillis = nowMillis
            }
        unacknowledged.removeAll { it.isAcknowledged }
        val rows = runs.map { (task, run) ->
            RunningRow(task, run.number, "", percent(run, nowMillis), null)
        }
        val report = WorkerReport(clock(nowMillis), bornMillis, 0, rows, ends.toList())
        return WorkerAnswer.Reported(report)
    }

    private fun percent(run: Run, nowMillis: Long) =
        (WHOLE - WHOLE * (run.endsMillis - nowMillis) / workMillis).toInt()

    private fun prolong(untilMillis: Long, nowMillis: Long) {
        val most = clock(nowMillis) + SchedulerSettings.DEFAULT_LEASE_MILLIS
        leaseEndMillis = maxOf(leaseEndMillis, minOf(untilMillis, most))
    }

    private fun done(nowMillis: Long) = WorkerAnswer.Done(clock(nowMillis), 0)

    private fun clock(nowMillis: Long) = (nowMillis - bornMillis) * clockPerMille / 1_000

    private companion object {
        const val WHOLE = 100L
    }
}
