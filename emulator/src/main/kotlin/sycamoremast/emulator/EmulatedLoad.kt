/** The workflows of a pattern: drawn as they come, followed until they end. */
package sycamoremast.emulator

import kotlin.math.exp
import kotlin.random.Random
import sycamoremast.coordination.Resources
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowStep

/** What the tasks of a step are really like, which the scheduler doesn't see. */
internal class Traits(
    val kind: WorkKind,
    val savesProgress: Boolean,
    val milliCpus: Long,
    val image: Int,
    val workMillis: List<Double>,
    val fails: List<Boolean>,
    val phase: Double
)

/** Draws workflows of [pattern] with [random]. */
internal class EmulatedLoad(private val pattern: Pattern, private val random: Random) {
    private class Submitted(val kind: WorkKind, val atMillis: Long, idealMillis: Double) {
        val objectiveMillis = kind.stretch * idealMillis + kind.targetLatencyMillis
        var endedMillis: Long? = null
        var phase = WorkflowPhase.QUEUED

        /** How long it took to complete, or null if it did not. */
        val tookMillis: Long?
            get() = endedMillis?.takeIf { phase == WorkflowPhase.COMPLETED }?.minus(atMillis)
        val isInTime: Boolean get() = tookMillis?.let { it <= objectiveMillis } == true
    }

    private val submitted = LinkedHashMap<String, Submitted>()
    private val traits = HashMap<String, Traits>()

    fun traitsOf(task: TaskName): Traits = traits.getValue(key(task.workflow, task.step))

    /** Returns a new workflow of [kind], submitted at [nowMillis]. */
    fun create(kind: WorkKind, nowMillis: Long): Workflow {
        val id = "job${submitted.size}"
        val stepCount = around(kind.steps).coerceIn(1, MOST_STEPS)
        val steps = (0 until stepCount).map { step(id, it, kind) }
        val ideal = (0 until stepCount).sumOf { traits.getValue(key(id, it)).workMillis.max() }
        submitted[id] = Submitted(kind, nowMillis, ideal)
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

    private fun step(id: String, number: Int, kind: WorkKind): WorkflowStep {
        val count = around(kind.width).coerceIn(1, kind.mostWidth)
        val cpus = (kind.milliCpus * noise(CPU_SPREAD)).toLong()
        val image = random.nextInt(if (kind.isServing) SERVING_IMAGES else SHARING_IMAGES)
        val base = kind.workMillis * noise(kind.spread)
        val savesProgress = kind.usesIdleCpu && random.nextDouble() < SAVING_SHARE
        traits[key(id, number)] = Traits(
            kind,
            savesProgress,
            cpus,
            image,
            List(count) { base * noise(UNEVEN) },
            List(count) { random.nextDouble() < kind.failShare },
            random.nextDouble()
        )
        return WorkflowStep(
            count,
            Resources(cpus, kind.memoryMib),
            (base * noise(ESTIMATE_SPREAD)).toLong(),
            after = if (number == 0) emptyList() else listOf(number - 1),
            isLongRunning = kind.isServing,
            image = "image$image",
            targetTailMillis = if (kind.isServing) pattern.targetMillis.toLong() else 0,
            usesIdleCpu = kind.usesIdleCpu,
            savesProgress = savesProgress,
            maxPerWorker = if (kind.isServing && random.nextBoolean()) 1 else 0
        )
    }

    private fun key(id: String, step: Int) = "$id.$step"

    private fun around(mean: Double) = (mean * noise(WIDTH_SPREAD)).toInt().coerceAtLeast(1)

    /** Returns a factor around 1 whose logarithm deviates by [spread]. */
    private fun noise(spread: Double): Double {
        val sum = (0 until GAUSS_TERMS).sumOf { random.nextDouble() } - GAUSS_TERMS / 2.0
        return exp(spread * sum - spread * spread / 2)
    }

    /** Notes that callers see [phase] of the workflow [id] from [nowMillis] on. */
    fun seen(id: String, phase: WorkflowPhase, nowMillis: Long) {
        val record = submitted.getValue(id)
        record.phase = phase
        if (phase.isFinal && record.endedMillis == null) record.endedMillis = nowMillis
    }

    /** Returns what became of the workflows of each queue. */
    fun outcomes(): Map<String, QueueOutcome> =
        submitted.values.groupBy { it.kind.queue }.mapValues { (_, all) ->
            val took = all.mapNotNull { it.tookMillis }.sorted()
            val inTime = all.count { it.isInTime }
            QueueOutcome(
                asked = all.size,
                inTime = inTime,
                late = took.size - inTime,
                failed = all.size - took.size,
                medianMillis = took.getOrElse(took.size / 2) { 0 }
            )
        }

    companion object {
        const val SERVICE = "service"
        const val SERVING_IMAGES = 5
        const val SHARING_IMAGES = 9

        /** The share of reviews that write checkpoints, from the users' sheets. */
        private const val SAVING_SHARE = 0.85
        private const val MOST_STEPS = 5
        private const val CPU_SPREAD = 0.3
        private const val UNEVEN = 0.3
        private const val ESTIMATE_SPREAD = 0.2
        private const val WIDTH_SPREAD = 0.6
        private const val GAUSS_TERMS = 12
    }
}
