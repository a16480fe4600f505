/**
 * Runs the workflow scheduler against emulated workers and an emulated store in virtual time.
 *
 * The outcome depends only on the pattern and the seed, not on threads, clocks or sockets.
 */
package sycamoremast.emulator

import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random
import sycamoremast.coordination.workflow.RejectReason
import sycamoremast.coordination.workflow.SchedulerAction
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkflowScheduler

/** An emulation of [pattern] with the random numbers of [seed]. */
class Emulation(private val pattern: LoadPattern, seed: Int) {
    private class TimedEvent(val atMillis: Long, val order: Long, val run: () -> Unit)

    private val random = Random(seed)
    private val scheduler = WorkflowScheduler(1, SchedulerSettings())
    private val queue =
        PriorityQueue<TimedEvent>(compareBy<TimedEvent> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    private var now = 0L
    private val fleet = EmulatedFleet(pattern, random)
    private val load = EmulatedLoad(pattern, random)
    private val deadlyStarts = HashMap<TaskName, Int>()
    private var paceOrders = 0
    private var polls = 0
    private var stops = 0
    private var starts = 0

    /** The real time that the scheduler's decisions took, which differs from run to run. */
    var schedulerNanos = 0L
        private set

    private fun schedule(delayMillis: Long, run: () -> Unit) {
        queue += TimedEvent(now + delayMillis, order++, run)
    }

    /** Emulates the whole pattern and returns its outcome. */
    fun run(): Outcome {
        if (pattern.shrinkingWorkers == null) {
            scheduler.updatePolicies(emptyMap(), setOf(EmulatedLoad.SERVICE))
        }
        scheduler.onWorkersListed(fleet.listings(), 0)
        submitServing()
        pattern.departures?.let(::scheduleDepartures)
        pattern.shrinkingWorkers?.let(::scheduleShrinking)
        while (now < (pattern.seconds + DRAIN_SECONDS) * MILLIS) {
            while (queue.isNotEmpty() && queue.peek().atMillis <= now) queue.poll().run()
            if (now % TICK_MILLIS == 0L) tick()
            if (now % DECIDE_MILLIS == 0L) runScheduler()
            now++
        }
        return Outcome(
            load.outcomes(),
            fleet.servingShare,
            fleet.longestOverTargetMillis,
            fleet.longestOffMillis,
            fleet.tasksOff,
            paceOrders,
            stops,
            polls,
            starts,
            pattern.workers,
            scheduler.examinedWorkers,
            fleet.audit?.longestExcessMillis,
            fleet.audit?.regainMillis,
            deadlyStarts.values.maxOrNull()
        )
    }

    private fun scheduleDepartures(departures: Departures) {
        fleet.departing(departures.count).forEachIndexed { i, worker ->
            val leaves = departures.fromSecond * MILLIS + i * departures.intervalMillis
            if (departures.noticeMillis > 0) {
                schedule(leaves - departures.noticeMillis) {
                    scheduler.onWorkerListed(fleet.listing(worker, isDraining = true), now)
                }
            }
            schedule(leaves) { fleet.remove(worker, now) }
            schedule(leaves + UNLIST_MILLIS) { scheduler.onWorkerUnlisted(worker.id) }
        }
    }

    private fun scheduleShrinking(shrinking: ShrinkingWorkers) {
        val workers = fleet.first(shrinking.count)
        schedule(shrinking.fromMillis) { workers.forEach { it.capacityShare = shrinking.share } }
        schedule(shrinking.untilMillis) { workers.forEach { it.capacityShare = 1.0 } }
        fleet.first(pattern.workers).forEachIndexed { i, worker ->
            schedule(i * HEARTBEAT_MILLIS / pattern.workers) { sendHeartbeat(worker) }
        }
    }

    private fun sendHeartbeat(worker: EmulatedWorker) {
        scheduler.onWorkerListed(fleet.listing(worker, isDraining = false), now)
        fleet.onListed(worker, now)
        schedule(HEARTBEAT_MILLIS) { sendHeartbeat(worker) }
    }

    private fun runScheduler() {
        val startNanos = System.nanoTime()
        val actions = scheduler.step(now, now)
        schedulerNanos += System.nanoTime() - startNanos
        actions.forEach(::perform)
    }

    private fun submitServing() {
        val kind = pattern.kinds.first { it.isServing }
        var unreserved = pattern.servingReserve * fleet.milliCpus
        while (unreserved > 0) unreserved -= submit(kind)
    }

    private fun tick() {
        val second = now / MILLIS.toDouble()
        if (now >= WARM_UP_MILLIS && now < pattern.seconds * MILLIS) {
            pattern.kinds.forEach { if (random.nextDouble() < probability(it, second)) submit(it) }
        }
        fleet.lapse(now)
        fleet.step(TICK_MILLIS, second)
        if (now % SAMPLE_MILLIS == 0L && now > WARM_UP_MILLIS) fleet.sampleServing(SAMPLE_MILLIS)
    }

    /** Returns the probability that a workflow of [kind] arrives in the tick at [second]. */
    private fun probability(kind: WorkflowKind, second: Double): Double {
        val surgeFactor = pattern.surges.filter { it.covers(kind.queue, second) }
            .fold(1.0) { factor, surge -> factor * surge.factor }
        val traffic = 1 + TRAFFIC_AMPLITUDE * sin(2 * PI * second / TRAFFIC_PERIOD_SECONDS)
        return kind.ratePerSecond * surgeFactor * traffic * TICK_MILLIS / MILLIS
    }

    private fun Surge.covers(name: String, second: Double) =
        queue == name && second >= fromSecond && second < fromSecond + seconds

    /** Submits a workflow of [kind] and returns the milli-CPUs that all its tasks reserve. */
    private fun submit(kind: WorkflowKind): Long {
        val workflow = load.create(kind, now)
        schedule(ACCEPT_MILLIS) {
            scheduler.onWorkflowAccepted(workflow, null, isRecovered = false, now, now)
        }
        return workflow.steps.sumOf { it.taskCount * it.demand.milliCpus }
    }

    private fun perform(action: SchedulerAction) {
        when (action) {
            is SchedulerAction.Start -> schedule(CALL_MILLIS) {
                starts++
                val answer = answerTo(action)
                schedule(CALL_MILLIS) { scheduler.onStartAnswer(action.order, answer, now) }
            }

            is SchedulerAction.Stop -> schedule(CALL_MILLIS) { stop(action) }

            is SchedulerAction.Pace -> schedule(PACE_MILLIS) {
                paceOrders++
                val worker = fleet.worker(action.order.worker.id)
                if (worker.obeys(action.order.fencingToken)) {
                    worker.runs[action.order.task]?.pace = action.order.percent / PERCENT
                }
            }

            is SchedulerAction.Poll -> {
                polls++
                val untilMillis = now + action.order.waitMillis
                schedule(CALL_MILLIS) { receivePoll(action, untilMillis) }
            }

            is SchedulerAction.Record -> schedule(RECORD_MILLIS) {
                scheduler.onBatchDurable().forEach { (id, s) -> load.setPhase(id, s.phase, now) }
            }

            is SchedulerAction.ToStandbys -> Unit

            is SchedulerAction.Depose -> error("scheduler deposed by ${action.worker.id}")

            is SchedulerAction.Log -> Unit
        }
    }

    /** Carries out [action], if the worker obeys, and returns its answer. */
    private fun answerTo(action: SchedulerAction.Start): WorkerAnswer {
        val order = action.order
        val worker = fleet.worker(order.worker.id)
        val clockMillis = worker.clockMillis(now)
        return when {
            worker.isGone -> NOT_SENT

            !worker.obeys(order.fencingToken) -> STALE_TOKEN

            order.leaseEndMillis <= clockMillis -> WorkerAnswer.Rejected(RejectReason.LATE)

            else -> {
                worker.extendLease(order.leaseEndMillis, now)
                start(action)
                WorkerAnswer.Done(clockMillis, now + CALL_MILLIS)
            }
        }
    }

    private fun start(action: SchedulerAction.Start) {
        val task = action.order.task
        fleet.start(action.order, load.traitsOf(task), now)
        val deadly = pattern.deadlyTasks
        if (deadly == null || !load.isDeadly(task)) return
        deadlyStarts.merge(task, 1, Int::plus)
        val worker = fleet.worker(action.order.worker.id)
        schedule(CRASH_MILLIS) {
            if (worker.isGone) return@schedule
            fleet.remove(worker, now)
            schedule(deadly.downMillis) { worker.restart(now) }
        }
    }

    private fun stop(action: SchedulerAction.Stop) {
        stops++
        val worker = fleet.worker(action.order.worker.id)
        if (!worker.isGone && !worker.obeys(action.order.fencingToken)) {
            schedule(CALL_MILLIS) { scheduler.onStopAnswer(action.order, STALE_TOKEN, now) }
            return
        }
        val stopMillis = pattern.shrinkingWorkers?.stopMillis
        if (stopMillis == null) {
            fleet.stop(worker, action.order.task, now)
        } else {
            schedule(stopMillis) { fleet.stop(worker, action.order.task, now) }
        }
        val answer =
            if (worker.isGone) NOT_SENT else WorkerAnswer.Done(worker.clockMillis(now), now)
        schedule(CALL_MILLIS) { scheduler.onStopAnswer(action.order, answer, now) }
    }

    private fun receivePoll(action: SchedulerAction.Poll, untilMillis: Long) {
        val worker = fleet.worker(action.order.worker.id)
        if (!worker.isGone && !worker.obeys(action.order.fencingToken)) {
            schedule(CALL_MILLIS) { scheduler.onPollAnswer(action.order, STALE_TOKEN, now) }
            return
        }
        action.order.leaseEndMillis?.let { worker.extendLease(it, now) }
        poll(action, untilMillis)
    }

    private fun poll(action: SchedulerAction.Poll, untilMillis: Long) {
        val worker = fleet.worker(action.order.worker.id)
        if (worker.isGone) {
            schedule(CALL_MILLIS) { scheduler.onPollAnswer(action.order, NOT_SENT, now) }
            return
        }
        val hasUnreportedEnds = worker.ended.any { it.number > action.order.acknowledgedEnd }
        if (!hasUnreportedEnds && now < untilMillis) {
            schedule(1) { poll(action, untilMillis) }
            return
        }
        val report = worker.report(now, action.order.acknowledgedEnd)
        schedule(CALL_MILLIS) {
            val answer = WorkerAnswer.Reported(report.copy(receivedMillis = now))
            scheduler.onPollAnswer(action.order, answer, now)
        }
    }

    private companion object {
        val NOT_SENT = WorkerAnswer.Rejected(RejectReason.NOT_SENT)
        val STALE_TOKEN = WorkerAnswer.Rejected(RejectReason.STALE_TOKEN)
        const val MILLIS = 1_000L
        const val TICK_MILLIS = 10

        /** The minimum time between two scheduling passes on a host. */
        const val DECIDE_MILLIS = 4L
        const val SAMPLE_MILLIS = 100L
        const val WARM_UP_MILLIS = 3_000L
        const val DRAIN_SECONDS = 14

        /** Relative amplitude and period of the users' traffic, from their deployment sheets. */
        const val TRAFFIC_AMPLITUDE = 0.55
        const val TRAFFIC_PERIOD_SECONDS = 17.0

        /** Delays of an acceptance, of one direction of a call, of a store write and of a pace. */
        const val ACCEPT_MILLIS = 10L
        const val CALL_MILLIS = 1L
        const val RECORD_MILLIS = 5L
        const val PACE_MILLIS = 101L

        /** How long after its start a deadly task crashes its worker. */
        const val CRASH_MILLIS = 16L

        /** The users' longest interval between two entries of a worker. */
        const val HEARTBEAT_MILLIS = 1_500L

        /** The time after which the platform no longer lists a worker that has left. */
        const val UNLIST_MILLIS = 50L
        const val PERCENT = 100.0
    }
}
