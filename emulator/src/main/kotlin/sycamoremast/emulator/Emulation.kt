/**
 * Runs the workflow scheduler against emulated workers and an emulated store in virtual time.
 *
 * Everything follows from the pattern and the seed; no thread, clock or socket is used.
 */
package sycamoremast.emulator

import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.random.Random
import sycamoremast.coordination.Resources
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.RunEnd
import sycamoremast.coordination.workflow.SchedulerAction
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerListing
import sycamoremast.coordination.workflow.WorkerRef
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowScheduler
import sycamoremast.coordination.workflow.WorkflowStep

/** What became of the workflows of one queue. */
data class QueueOutcome(
    val asked: Int,
    val inTime: Int,
    val late: Int,
    val failed: Int,
    val medianMillis: Long
) {
    /** The share that was completed in time. */
    val inTimeShare: Double get() = if (asked == 0) 1.0 else inTime.toDouble() / asked
}

/** The outcome of an emulation. */
data class Outcome(
    val queues: Map<String, QueueOutcome>,
    val servingShare: Double,
    val longestOverMillis: Long,
    val paceOrders: Int,
    val stops: Int,
    val polls: Int
)

/** One run of [pattern] with [seed]. */
class Emulation(private val pattern: Pattern, seed: Int) {
    private class Timed(val atMillis: Long, val order: Long, val run: () -> Unit)

    private class Submitted(val kind: WorkKind, val atMillis: Long, val idealMillis: Double) {
        var endedMillis: Long? = null
        var phase = WorkflowPhase.QUEUED
    }

    private class Traits(
        val kind: WorkKind,
        val savesProgress: Boolean,
        val milliCpus: Long,
        val image: Int,
        val work: List<Double>,
        val fails: List<Boolean>,
        val phase: Double
    )

    private val random = Random(seed)
    private val scheduler = WorkflowScheduler(1, SchedulerSettings())
    private val queue =
        PriorityQueue<Timed>(compareBy<Timed> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    private var now = 0L
    private val presses = (0 until SERVING_IMAGES).flatMap { s ->
        (0 until SHARING_IMAGES).map { f ->
            val isHeavy = random.nextDouble() < pattern.heavyShare
            (s to f) to if (isHeavy) random.nextDouble(LEAST_HEAVY, MOST_HEAVY) else LIGHT
        }
    }.toMap()
    private val workers = (0 until pattern.workers).map {
        EmulatedWorker(
            "w$it",
            if (it % LARGE_EVERY ==
                0
            ) {
                pattern.milliCpus * LARGE / PERCENT.toLong()
            } else {
                pattern.milliCpus
            },
            pattern.tailMillis,
            pattern.swingSeconds,
            presses
        )
    }.associateBy { it.id }
    private val submitted = LinkedHashMap<String, Submitted>()
    private val traits = HashMap<String, Traits>()
    private var servingGood = 0.0
    private var servingSeen = 0
    private var longestOver = 0L
    private var paceOrders = 0
    private var polls = 0
    private var stops = 0

    private fun at(delayMillis: Long, run: () -> Unit) {
        queue += Timed(now + delayMillis, order++, run)
    }

    /** Plays the pattern to its end. */
    fun run(): Outcome {
        scheduler.listed(workers.values.map(::listing), 0)
        submitServing()
        while (now < (pattern.seconds + TAIL_SECONDS) * MILLIS) {
            while (queue.isNotEmpty() && queue.peek().atMillis <= now) queue.poll().run()
            if (now % STEP_MILLIS == 0L) tick()
            scheduler.step(now, now).forEach(::begin)
            now++
        }
        return outcome()
    }

    private fun listing(worker: EmulatedWorker) = WorkerListing(
        WorkerRef(worker.id, worker.id),
        SERVICE,
        "zone",
        Resources(worker.milliCpus, pattern.memoryMib * worker.milliCpus / pattern.milliCpus),
        emptyList(),
        isDraining = false
    )

    private fun submitServing() {
        val kind = pattern.kinds.first { it.isServing }
        var left = pattern.servingReserve * workers.values.sumOf { it.milliCpus }
        while (left > 0) left -= submit(kind)
    }

    private fun tick() {
        val second = now / MILLIS.toDouble()
        for (kind in pattern.kinds) {
            val isOver = now >= pattern.seconds * MILLIS
            if (now < WARM_MILLIS || isOver) continue
            val surge = pattern.surges.filter {
                it.queue == kind.queue &&
                    second >= it.fromSecond &&
                    second < it.fromSecond + it.seconds
            }.fold(1.0) { factor, s -> factor * s.factor }
            val wave = 1 + WAVE * kotlin.math.sin(2 * Math.PI * second / WAVE_SECONDS)
            if (random.nextDouble() <
                kind.perSecond * surge * wave * STEP_MILLIS / MILLIS
            ) {
                submit(kind)
            }
        }
        for (worker in workers.values) worker.step(STEP_MILLIS, second)
        if (now % SAMPLE_MILLIS == 0L && now > WARM_MILLIS) sampleServing()
    }

    private fun sampleServing() {
        for (run in workers.values.flatMap { it.runs.values }) {
            if (!run.kind.isServing) continue
            val isOver = run.tail > TARGET_FACTOR * pattern.tailMillis
            servingSeen++
            servingGood += if (isOver) -OVER_PENALTY else 1.0
            run.overMillis = if (isOver) run.overMillis + SAMPLE_MILLIS else 0
            longestOver = maxOf(longestOver, run.overMillis)
        }
    }

    /** Submits a workflow of [kind]; returns the processors that all its tasks reserve. */
    private fun submit(kind: WorkKind): Long {
        val id = "job${submitted.size}"
        val stepCount = around(kind.steps).coerceIn(1, MOST_STEPS)
        val steps = (0 until stepCount).map { n ->
            val count = around(kind.width).coerceIn(1, MOST_WIDTH)
            val cpus = (kind.milliCpus * noise(CPU_SPREAD)).toLong()
            val image = random.nextInt(if (kind.isServing) SERVING_IMAGES else SHARING_IMAGES)
            val base = kind.workMillis * noise(kind.spread)
            val savesProgress = kind.usesIdleCpu && random.nextDouble() < SAVING_SHARE
            traits["$id.0.$n"] = Traits(
                kind,
                savesProgress,
                cpus,
                image,
                List(count) { base * noise(UNEVEN) },
                List(count) { random.nextDouble() < kind.failShare },
                random.nextDouble()
            )
            WorkflowStep(
                count,
                Resources(cpus, kind.memoryMib),
                (base * noise(ESTIMATE_SPREAD)).toLong(),
                after = if (n == 0) emptyList() else listOf(n - 1),
                isLongRunning = kind.isServing,
                image = "image$image",
                targetTailMillis = if (kind.isServing) targetMillis() else 0,
                usesIdleCpu = kind.usesIdleCpu,
                savesProgress = savesProgress,
                maxPerWorker = if (kind.isServing && random.nextBoolean()) 1 else 0
            )
        }
        val ideal = (0 until stepCount).sumOf { traits.getValue("$id.0.$it").work.max() }
        submitted[id] = Submitted(kind, now, ideal)
        val policy = QueuePolicy(
            kind.queue,
            SERVICE,
            kind.priority,
            kind.maxAttempts,
            kind.stretch,
            kind.targetLatencyMillis
        )
        val workflow = Workflow(id, policy, "", steps, null, now)
        at(ACCEPT_MILLIS) {
            scheduler.accepted(workflow, null, isRecovered = false, now, now)
        }
        return steps.sumOf { it.taskCount * it.demand.milliCpus }
    }

    private fun targetMillis() = (TARGET_FACTOR * pattern.tailMillis).toLong()

    private fun around(mean: Double) = (mean * noise(WIDTH_SPREAD)).toInt().coerceAtLeast(1)

    /** Returns a factor around 1 whose logarithm deviates by [spread]. */
    private fun noise(spread: Double): Double {
        val sum = (0 until GAUSS_TERMS).sumOf { random.nextDouble() } - GAUSS_TERMS / 2.0
        return exp(spread * sum - spread * spread / 2)
    }

    private fun begin(action: SchedulerAction) {
        when (action) {
            is SchedulerAction.Start -> at(CALL_MILLIS) {
                val worker = workers.getValue(action.order.worker.id)
                startRun(worker, action.order)
                val answer = WorkerAnswer.Done(now, now + CALL_MILLIS)
                at(CALL_MILLIS) { scheduler.startAnswered(action.order, answer, now) }
            }

            is SchedulerAction.Stop -> at(CALL_MILLIS) {
                stops++
                val worker = workers.getValue(action.order.worker.id)
                worker.runs[action.order.task]?.let { worker.end(it, RunEnd.STOPPED) }
                val answer = WorkerAnswer.Done(now, now + CALL_MILLIS)
                at(CALL_MILLIS) { scheduler.stopAnswered(action.order, answer, now) }
            }

            is SchedulerAction.Pace -> at(PACE_MILLIS) {
                paceOrders++
                workers.getValue(action.order.worker.id).runs[action.order.task]
                    ?.let { it.pace = action.order.percent / PERCENT }
            }

            is SchedulerAction.Poll -> {
                polls++
                val until = now + action.order.waitMillis
                at(CALL_MILLIS) { poll(action, until) }
            }

            is SchedulerAction.Record -> at(RECORD_MILLIS) {
                scheduler.recorded().forEach { (id, phase) -> ended(id, phase) }
            }

            is SchedulerAction.Depose -> error("deposed by ${action.worker.id}")

            is SchedulerAction.Log -> Unit
        }
    }

    private fun poll(action: SchedulerAction.Poll, untilMillis: Long) {
        val worker = workers.getValue(action.order.worker.id)
        val hasEnds = worker.ended.any { it.number > action.order.acknowledgedEnd }
        if (!hasEnds && now < untilMillis) {
            at(1) { poll(action, untilMillis) }
            return
        }
        val report = worker.report(now, action.order.acknowledgedEnd)
        at(CALL_MILLIS) {
            val answer = WorkerAnswer.Reported(report.copy(receivedMillis = now))
            scheduler.polled(action.order, answer, now)
        }
    }

    private fun startRun(worker: EmulatedWorker, order: StartOrder) {
        val task = order.task
        val run = order.run
        val step = traits.getValue("${task.workflow}.${task.occurrence}.${task.step}")
        val second = now / MILLIS
        val bad = pattern.bad.filter {
            second >= it.fromSecond &&
                second < it.fromSecond + it.seconds &&
                worker.id.drop(1).toInt() < it.count
        }
        val fails = bad.any { random.nextDouble() < it.failShare }
        val started = EmulatedRun(
            task,
            run,
            step.kind,
            step.milliCpus,
            step.image,
            if (fails) FAIL_MILLIS else step.work[task.index],
            fails || (step.fails[task.index] && run == 1),
            step.phase,
            step.savesProgress
        )
        started.slowness = bad.maxOfOrNull { it.slowness } ?: 1.0
        started.doneMillis = order.checkpoint.toDoubleOrNull()?.minus(RESTORE_MILLIS) ?: 0.0
        worker.runs[task] = started
    }

    private fun ended(id: String, phase: WorkflowPhase) {
        val record = submitted.getValue(id)
        record.phase = phase
        if (phase.isFinal && record.endedMillis == null) record.endedMillis = now
    }

    private fun outcome(): Outcome {
        val byQueue = submitted.values.groupBy { it.kind.queue }.mapValues { (_, all) ->
            val took = all.map { s ->
                val end = s.endedMillis.takeIf { s.phase == WorkflowPhase.COMPLETED }
                end?.let { it - s.atMillis to objective(s) }
            }
            QueueOutcome(
                asked = all.size,
                inTime = took.count { it != null && it.first <= it.second },
                late = took.count { it != null && it.first > it.second },
                failed = took.count { it == null },
                medianMillis = took.filterNotNull().map { it.first }.sorted()
                    .let { it.getOrElse(it.size / 2) { 0 } }
            )
        }
        val share = if (servingSeen == 0) 1.0 else servingGood / servingSeen
        return Outcome(byQueue, share, longestOver, paceOrders, stops, polls)
    }

    private fun objective(s: Submitted) =
        s.kind.stretch * s.idealMillis + s.kind.targetLatencyMillis

    private companion object {
        const val SERVICE = "service"
        const val MILLIS = 1_000L
        const val STEP_MILLIS = 10
        const val SAMPLE_MILLIS = 100L
        const val WARM_MILLIS = 3_000L
        const val TAIL_SECONDS = 14
        const val SERVING_IMAGES = 5
        const val SHARING_IMAGES = 9

        /** Load that a neighbour on the whole worker adds; fitted to readings of three days. */
        const val LIGHT = 0.07
        const val LEAST_HEAVY = 0.7
        const val MOST_HEAVY = 2.3

        /** Every third worker has half as many processors again, as on the users' sheets. */
        const val LARGE_EVERY = 3
        const val LARGE = 150

        /** The share of reviews that write checkpoints, from the users' sheets. */
        const val SAVING_SHARE = 0.85

        /** The users' accounting of a serving task that others push over its target. */
        const val OVER_PENALTY = 3.0
        const val TARGET_FACTOR = 5.0
        const val WAVE = 0.55
        const val WAVE_SECONDS = 17.0
        const val MOST_STEPS = 5
        const val MOST_WIDTH = 32
        const val CPU_SPREAD = 0.3
        const val UNEVEN = 0.3
        const val ESTIMATE_SPREAD = 0.2
        const val WIDTH_SPREAD = 0.6
        const val GAUSS_TERMS = 12
        const val ACCEPT_MILLIS = 10L
        const val CALL_MILLIS = 1L
        const val RECORD_MILLIS = 5L
        const val PACE_MILLIS = 101L
        const val PERCENT = 100.0
        const val RESTORE_MILLIS = 250.0
        const val FAIL_MILLIS = 100.0
    }
}
