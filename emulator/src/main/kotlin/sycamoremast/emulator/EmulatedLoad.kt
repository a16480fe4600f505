/** The random workflows of a load pattern, with their outcomes. */
package sycamoremast.emulator

import kotlin.math.exp
import kotlin.random.Random
import sycamoremast.coordination.Resources
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowStep

/** The true behaviour of a step's tasks, which the scheduler knows only by its estimates. */
internal class StepTraits(
    val kind: WorkflowKind,
    val savesProgress: Boolean,
    val milliCpus: Long,
    val image: Int,
    val workMillis: List<Double>,
    val failsFirstRun: List<Boolean>,
    val phase: Double
)

/** Creates the workflows of [pattern] with sizes drawn from [random], and records their phases. */
internal class EmulatedLoad(private val pattern: LoadPattern, private val random: Random) {
    private class Submission(val kind: WorkflowKind, val startMillis: Long, idealMillis: Double) {
        val objectiveMillis = kind.stretch * idealMillis + kind.targetLatencyMillis
        var endedMillis: Long? = null
        var phase = WorkflowPhase.QUEUED

        /** The time from submission to completion, or null if the workflow has not completed. */
        val durationMillis: Long?
            get() = endedMillis?.takeIf { phase == WorkflowPhase.COMPLETED }?.minus(startMillis)
        val isInTime: Boolean get() = durationMillis?.let { it <= objectiveMillis } == true
    }

    private val submissions = LinkedHashMap<String, Submission>()
    private val traits = HashMap<String, StepTraits>()
    private val deadlyWorkflows = HashSet<String>()

    /** Whether [task] crashes each worker that starts it. */
    fun isDeadly(task: TaskName): Boolean =
        task.workflow in deadlyWorkflows && task.step == 0 && task.index == 0

    fun traitsOf(task: TaskName): StepTraits = traits.getValue(key(task.workflow, task.step))

    /** Returns a new workflow of [kind], submitted at [nowMillis]. */
    fun create(kind: WorkflowKind, nowMillis: Long): Workflow {
        val id = "job${submissions.size}"
        val stepCount = drawCount(kind.steps).coerceIn(1, MAX_STEPS)
        val steps = (0 until stepCount).map { step(id, it, kind) }
        val ideal = (0 until stepCount).sumOf { traits.getValue(key(id, it)).workMillis.max() }
        submissions[id] = Submission(kind, nowMillis, ideal)
        val deadly = pattern.deadlyTasks
        if (deadly != null &&
            deadly.covers(kind, nowMillis) &&
            random.nextDouble() < deadly.share
        ) {
            deadlyWorkflows += id
        }
        val policy = QueuePolicy(
            kind.queue,
            SERVICE,
            kind.priority,
            kind.maxAttempts,
            kind.stretch,
            kind.targetLatencyMillis
        )
        return Workflow(id, policy, "", steps, null, nowMillis)
    }

    private fun DeadlyTasks.covers(kind: WorkflowKind, nowMillis: Long) =
        queue == kind.queue && nowMillis / MILLIS in fromSecond until untilSecond

    private fun step(id: String, index: Int, kind: WorkflowKind): WorkflowStep {
        val count = drawCount(kind.width).coerceIn(1, kind.maxWidth)
        val milliCpus = (kind.milliCpus * drawFactor(CPU_SPREAD)).toLong()
        val image = random.nextInt(if (kind.isServing) SERVING_IMAGES else IDLE_CPU_IMAGES)
        val meanWorkMillis = kind.workMillis * drawFactor(kind.spread)
        val savesProgress = kind.usesIdleCpu && random.nextDouble() < CHECKPOINT_SHARE
        traits[key(id, index)] = StepTraits(
            kind,
            savesProgress,
            milliCpus,
            image,
            List(count) { meanWorkMillis * drawFactor(TASK_SPREAD) },
            List(count) { random.nextDouble() < kind.failureRate },
            random.nextDouble()
        )
        return WorkflowStep(
            count,
            Resources(milliCpus, kind.memoryMib),
            (meanWorkMillis * drawFactor(ESTIMATE_SPREAD)).toLong(),
            after = if (index == 0) emptyList() else listOf(index - 1),
            isLongRunning = kind.isServing,
            image = "image$image",
            targetTailMillis = if (kind.isServing) pattern.targetMillis.toLong() else 0,
            usesIdleCpu = kind.usesIdleCpu,
            savesProgress = savesProgress,
            maxPerWorker = if (kind.isServing && random.nextBoolean()) 1 else 0
        )
    }

    private fun key(id: String, step: Int) = "$id.$step"

    private fun drawCount(mean: Double) = (mean * drawFactor(COUNT_SPREAD)).toInt().coerceAtLeast(1)

    /** Returns a factor of mean 1, distributed nearly log-normally with the deviation [spread]. */
    private fun drawFactor(spread: Double): Double {
        val sum = (0 until NORMAL_TERMS).sumOf { random.nextDouble() } - NORMAL_TERMS / 2.0
        return exp(spread * sum - spread * spread / 2)
    }

    /** Records that callers see the workflow [id] in [phase] from [nowMillis] on. */
    fun setPhase(id: String, phase: WorkflowPhase, nowMillis: Long) {
        val submission = submissions.getValue(id)
        submission.phase = phase
        if (phase.isFinal && submission.endedMillis == null) submission.endedMillis = nowMillis
    }

    /** Returns the outcome of each queue, by its name. */
    fun outcomes(): Map<String, QueueOutcome> =
        submissions.values.groupBy { it.kind.queue }.mapValues { (_, all) ->
            val durations = all.mapNotNull { it.durationMillis }.sorted()
            val inTime = all.count { it.isInTime }
            QueueOutcome(
                submitted = all.size,
                inTime = inTime,
                late = durations.size - inTime,
                failed = all.size - durations.size,
                medianMillis = durations.getOrElse(durations.size / 2) { 0 }
            )
        }

    companion object {
        const val SERVICE = "service"
        const val SERVING_IMAGES = 5
        const val IDLE_CPU_IMAGES = 9

        /** The share of reviews that write checkpoints, from the users' deployment sheets. */
        private const val CHECKPOINT_SHARE = 0.85
        private const val MILLIS = 1_000L
        private const val MAX_STEPS = 5
        private const val CPU_SPREAD = 0.3
        private const val TASK_SPREAD = 0.3
        private const val ESTIMATE_SPREAD = 0.2
        private const val COUNT_SPREAD = 0.6
        private const val NORMAL_TERMS = 12
    }
}
