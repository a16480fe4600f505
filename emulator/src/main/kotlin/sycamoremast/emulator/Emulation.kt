/**
 * Runs the workflow scheduler against emulated workers and an emulated store in virtual time.
 *
 * Everything follows from the pattern and the seed; no thread, clock or socket is used.
 */
package sycamoremast.emulator

import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random
import sycamoremast.coordination.workflow.RunEnd
import sycamoremast.coordination.workflow.SchedulerAction
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkflowScheduler

/** One run of [pattern] with [seed]. */
class Emulation(private val pattern: Pattern, seed: Int) {
    private class Timed(val atMillis: Long, val order: Long, val run: () -> Unit)

    private val random = Random(seed)
    private val scheduler = WorkflowScheduler(1, SchedulerSettings())
    private val queue =
        PriorityQueue<Timed>(compareBy<Timed> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    private var now = 0L
    private val fleet = EmulatedFleet(pattern, random)
    private val load = EmulatedLoad(pattern, random)
    private var paceOrders = 0
    private var polls = 0
    private var stops = 0
    private var starts = 0

    /** The time that the scheduler's decisions took, which differs from run to run. */
    var schedulerNanos = 0L
        private set

    private fun at(delayMillis: Long, run: () -> Unit) {
        queue += Timed(now + delayMillis, order++, run)
    }

    /** Plays the pattern to its end. */
    fun run(): Outcome {
        scheduler.onWorkersListed(fleet.listings(), 0)
        submitServing()
        while (now < (pattern.seconds + TAIL_SECONDS) * MILLIS) {
            while (queue.isNotEmpty() && queue.peek().atMillis <= now) queue.poll().run()
            if (now % STEP_MILLIS == 0L) tick()
            if (now % DECIDE_MILLIS == 0L) decide()
            now++
        }
        return Outcome(
            load.outcomes(),
            fleet.servingShare,
            fleet.longestOverMillis,
            paceOrders,
            stops,
            polls,
            starts,
            pattern.workers,
            scheduler.examinedWorkers
        )
    }

    private fun decide() {
        val began = System.nanoTime()
        val actions = scheduler.step(now, now)
        schedulerNanos += System.nanoTime() - began
        actions.forEach(::begin)
    }

    private fun submitServing() {
        val kind = pattern.kinds.first { it.isServing }
        var left = pattern.servingReserve * fleet.milliCpus
        while (left > 0) left -= submit(kind)
    }

    private fun tick() {
        val second = now / MILLIS.toDouble()
        if (now >= WARM_MILLIS && now < pattern.seconds * MILLIS) {
            pattern.kinds.forEach { if (random.nextDouble() < chance(it, second)) submit(it) }
        }
        fleet.step(STEP_MILLIS, second)
        if (now % SAMPLE_MILLIS == 0L && now > WARM_MILLIS) fleet.sampleServing(SAMPLE_MILLIS)
    }

    /** Returns how likely a workflow of [kind] comes in a tick at [second]. */
    private fun chance(kind: WorkKind, second: Double): Double {
        val surges = pattern.surges.filter { it.covers(kind.queue, second) }
            .fold(1.0) { factor, surge -> factor * surge.factor }
        val wave = 1 + WAVE * sin(2 * PI * second / WAVE_SECONDS)
        return kind.perSecond * surges * wave * STEP_MILLIS / MILLIS
    }

    private fun Surge.covers(name: String, second: Double) =
        queue == name && second >= fromSecond && second < fromSecond + seconds

    /** Submits a workflow of [kind]; returns the processors that all its tasks reserve. */
    private fun submit(kind: WorkKind): Long {
        val workflow = load.create(kind, now)
        at(ACCEPT_MILLIS) {
            scheduler.onWorkflowAccepted(workflow, null, isRecovered = false, now, now)
        }
        return workflow.steps.sumOf { it.taskCount * it.demand.milliCpus }
    }

    private fun begin(action: SchedulerAction) {
        when (action) {
            is SchedulerAction.Start -> at(CALL_MILLIS) {
                starts++
                fleet.start(action.order, load.traitsOf(action.order.task), now / MILLIS)
                val answer = WorkerAnswer.Done(now, now + CALL_MILLIS)
                at(CALL_MILLIS) { scheduler.onStartAnswer(action.order, answer, now) }
            }

            is SchedulerAction.Stop -> at(CALL_MILLIS) {
                stops++
                val worker = fleet.worker(action.order.worker.id)
                worker.runs[action.order.task]?.let { worker.end(it, RunEnd.STOPPED) }
                val answer = WorkerAnswer.Done(now, now + CALL_MILLIS)
                at(CALL_MILLIS) { scheduler.onStopAnswer(action.order, answer, now) }
            }

            is SchedulerAction.Pace -> at(PACE_MILLIS) {
                paceOrders++
                fleet.worker(action.order.worker.id).runs[action.order.task]
                    ?.let { it.pace = action.order.percent / PERCENT }
            }

            is SchedulerAction.Poll -> {
                polls++
                val until = now + action.order.waitMillis
                at(CALL_MILLIS) { poll(action, until) }
            }

            is SchedulerAction.Record -> at(RECORD_MILLIS) {
                scheduler.onBatchDurable().forEach { (id, phase) -> load.seen(id, phase, now) }
            }

            is SchedulerAction.Depose -> error("deposed by ${action.worker.id}")

            is SchedulerAction.Log -> Unit
        }
    }

    private fun poll(action: SchedulerAction.Poll, untilMillis: Long) {
        val worker = fleet.worker(action.order.worker.id)
        val hasEnds = worker.ended.any { it.number > action.order.acknowledgedEnd }
        if (!hasEnds && now < untilMillis) {
            at(1) { poll(action, untilMillis) }
            return
        }
        val report = worker.report(now, action.order.acknowledgedEnd)
        at(CALL_MILLIS) {
            val answer = WorkerAnswer.Reported(report.copy(receivedMillis = now))
            scheduler.onPollAnswer(action.order, answer, now)
        }
    }

    private companion object {
        const val MILLIS = 1_000L
        const val STEP_MILLIS = 10

        /** The least time between two decisions of a host's scheduler. */
        const val DECIDE_MILLIS = 4L
        const val SAMPLE_MILLIS = 100L
        const val WARM_MILLIS = 3_000L
        const val TAIL_SECONDS = 14

        /** The swing of the users' traffic and its period, from their sheets. */
        const val WAVE = 0.55
        const val WAVE_SECONDS = 17.0
        const val ACCEPT_MILLIS = 10L
        const val CALL_MILLIS = 1L
        const val RECORD_MILLIS = 5L
        const val PACE_MILLIS = 101L
        const val PERCENT = 100.0
    }
}
