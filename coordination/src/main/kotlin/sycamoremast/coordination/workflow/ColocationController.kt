/**
 * Lets tasks that use idle processors run beside serving tasks without slowing these beyond their
 * target.
 *
 * The tasks of a serving step carry the same load, so its headroom without neighbours is estimated
 * from all of them. What a worker's serving tasks have left decides how many neighbours are placed
 * present and at which pace these work.
 */
package sycamoremast.coordination.workflow

internal class ColocationController(private val fleet: Fleet) {
    private val model = TailModel()
    private val baselines = HashMap<OpenStep, Baseline>()

    private class Baseline(var headroom: Double, var slopePerMilli: Double, var atMillis: Long)

    /** Takes in the readings of a new report of [worker], and adjusts the pace of neighbours. */
    fun onReport(worker: FleetWorker, nowMillis: Long) {
        if (worker.servingCount == 0) return
        val covered = coveredShares(worker, nowMillis)
        val serving = worker.colocation.serving.filter { it.hasSteadyReadings(nowMillis) }
        for (placement in serving) {
            val headroom = placement.headroomOrNull ?: continue
            val image = placement.task.step.spec.image
            val unloaded = headroom + model.cost(image, covered)
            val baseline = updateBaseline(placement.task.step, unloaded, covered, nowMillis)
            model.observe(image, covered, baseline - headroom)
        }
        adjustPaces(worker, nowMillis)
    }

    /**
     * Whether [extra] would notably slow no serving task on [worker], together with those present.
     *
     * The estimates are not trusted while a task present stays over its target.
     */
    fun isHarmless(worker: FleetWorker, extra: WorkflowStep, nowMillis: Long): Boolean {
        if (isUnexplained(worker, nowMillis)) return false
        val share = extra.demand.milliCpus.toDouble() / worker.capacity.milliCpus
        val present = worker.colocation.shares
        return worker.colocation.images.all {
            val added = model.effect(it, extra.image) * share
            added <= NEGLIGIBLE_COST && model.cost(it, present) + added <= MAX_HARMLESS_COST
        }
    }

    /** Returns the least headroom on [worker] after [extra] joined, or null without serving tasks. */
    fun headroomWithOrNull(worker: FleetWorker, extra: WorkflowStep, nowMillis: Long): Double? {
        if (worker.servingCount == 0) return null
        if (nowMillis < worker.noSharingBeforeMillis) return 0.0
        val shares = worker.colocation.shares.toMutableMap()
        val share = extra.demand.milliCpus.toDouble() / worker.capacity.milliCpus
        shares.merge(extra.image, share, Double::plus)
        return minHeadroom(worker, shares, nowMillis)
    }

    private fun minHeadroom(
        worker: FleetWorker,
        shares: Map<String, Double>,
        nowMillis: Long
    ): Double =
        worker.colocation.serving.minOfOrNull { predictedHeadroom(it.task.step, shares, nowMillis) }
            ?: UNCONSTRAINED_HEADROOM

    private fun predictedHeadroom(
        step: OpenStep,
        shares: Map<String, Double>,
        nowMillis: Long
    ): Double {
        val baseline = baselines[step] ?: return UNKNOWN_HEADROOM
        val ahead = nowMillis - baseline.atMillis + LOOK_AHEAD_MILLIS
        val change = (baseline.slopePerMilli * ahead).coerceIn(-MAX_PREDICTED_CHANGE, 0.0)
        return baseline.headroom + change - model.cost(step.spec.image, shares)
    }

    /** Moves the step's baseline towards [unloaded], less so the more of it rests on the model. */
    private fun updateBaseline(
        step: OpenStep,
        unloaded: Double,
        shares: Map<String, Double>,
        nowMillis: Long
    ): Double {
        val known = baselines[step]
        if (known == null) {
            baselines[step] = Baseline(unloaded, 0.0, nowMillis)
            return unloaded
        }
        val weight = BASELINE_WEIGHT / (1 + model.cost(step.spec.image, shares))
        val elapsed = nowMillis - known.atMillis
        val expected = known.headroom + known.slopePerMilli * elapsed
        val error = unloaded - expected
        known.headroom = expected + weight * error
        if (elapsed > 0) {
            val slope = known.slopePerMilli + weight * SLOPE_WEIGHT * error / SLOPE_SPAN_MILLIS
            known.slopePerMilli = slope.coerceIn(-MAX_SLOPE_PER_MILLI, MAX_SLOPE_PER_MILLI)
        }
        known.atMillis = nowMillis
        return known.headroom
    }

    /** Returns the shares of neighbours over the time that a reading covers, as an average. */
    private fun coveredShares(worker: FleetWorker, nowMillis: Long): Map<String, Double> {
        val shares = HashMap<String, Double>()
        for (placement in worker.placements.values) {
            if (!placement.task.step.spec.usesIdleCpu) continue
            val age = nowMillis - maxOf(placement.startedMillis, placement.paceChangedMillis)
            val part = (age.toDouble() / READING_SPAN_MILLIS).coerceIn(0.0, 1.0)
            val share = ColocationView.shareOf(placement) * part
            shares.merge(placement.task.step.spec.image, share, Double::plus)
        }
        for ((placement, atMillis) in worker.departures) {
            val part = 1 - (nowMillis - atMillis).toDouble() / READING_SPAN_MILLIS
            if (part <= 0) continue
            val share = ColocationView.shareOf(placement) * part
            shares.merge(placement.task.step.spec.image, share, Double::plus)
        }
        return shares
    }

    /** Moves neighbours away, or halts them, while they push a serving task over its target. */
    private fun adjustPaces(worker: FleetWorker, nowMillis: Long) {
        val neighbours = worker.placements.values.filter {
            it.task.step.spec.usesIdleCpu && it.phase == PlacementPhase.RUNNING
        }
        val serving = worker.colocation.serving.filter { it.headroomOrNull != null }
            .sortedBy { it.headroomOrNull }
        val worst = serving.firstOrNull()?.headroomOrNull ?: return
        if (worst >= 1) {
            worker.overTargetSinceMillis = null
        } else if (neighbours.isNotEmpty()) {
            worker.overTargetSinceMillis = worker.overTargetSinceMillis ?: nowMillis
        }
        when {
            neighbours.isEmpty() -> Unit

            worst >= MIN_HEADROOM -> restorePace(neighbours, serving, nowMillis)

            // Whoever it is, the serving task comes first.
            isUnexplained(worker, nowMillis) -> neighbours.forEach { stopOrHalt(it, nowMillis) }

            isOverTargetFor(worker, RELIEF_DELAY_MILLIS, nowMillis) -> {
                val working = neighbours.filter { it.pacePercent > 0 }.toMutableList()
                serving.takeWhile { (it.headroomOrNull ?: UNCONSTRAINED_HEADROOM) < MIN_HEADROOM }
                    .forEach { relieve(it, working, nowMillis) }
            }
        }
    }

    /** Whether a task on [worker] is over its target for longer than the estimates would allow. */
    private fun isUnexplained(worker: FleetWorker, nowMillis: Long) =
        isOverTargetFor(worker, MAX_EXPLAINED_MILLIS, nowMillis)

    private fun isOverTargetFor(worker: FleetWorker, millis: Long, nowMillis: Long) =
        worker.overTargetSinceMillis?.let { nowMillis - it >= millis } == true

    /**
     * Moves away those of [working] that cost [overTarget] most, until they explain what it lacks.
     *
     * Neighbours without a notable effect stay: the serving task's own load, or the noise of one
     * reading, is no reason to interrupt them.
     */
    private fun relieve(overTarget: Placement, working: MutableList<Placement>, nowMillis: Long) {
        val image = overTarget.task.step.spec.image
        var missing = TARGET_HEADROOM - (overTarget.headroomOrNull ?: TARGET_HEADROOM)
        val costly = working.filter { cost(image, it) > NEGLIGIBLE_COST }
            .sortedByDescending { cost(image, it) }
        for (placement in costly) {
            if (missing <= 0) return
            missing -= cost(image, placement)
            working -= placement
            stopOrHalt(placement, nowMillis)
        }
    }

    /** Halts [placement] where a stop would throw more work away than a pause costs. */
    private fun stopOrHalt(placement: Placement, nowMillis: Long) {
        placement.worker.noSharingBeforeMillis = nowMillis + NO_SHARING_MILLIS
        val losesWork =
            !placement.task.step.spec.savesProgress && placement.percent > MAX_DISCARDED_PERCENT
        when {
            !losesWork -> fleet.stop(placement, nowMillis, "neighbour over its target")
            placement.pacePercent > 0 -> pace(placement, 0, nowMillis)
        }
    }

    private fun cost(serving: String, placement: Placement) =
        cost(serving, placement, placement.pacePercent)

    private fun cost(serving: String, placement: Placement, percent: Int) =
        model.effect(serving, placement.task.step.spec.image) *
            ColocationView.shareOf(placement, percent)

    private fun restorePace(
        neighbours: List<Placement>,
        serving: List<Placement>,
        nowMillis: Long
    ) {
        val slowedRun = neighbours.find { it.pacePercent < Placement.FULL_PACE } ?: return
        if (nowMillis < slowedRun.paceChangedMillis + READING_SPAN_MILLIS) return
        val isCalm = serving.all {
            val left = it.headroomOrNull ?: UNCONSTRAINED_HEADROOM
            left - cost(it.task.step.spec.image, slowedRun, Placement.FULL_PACE) > TARGET_HEADROOM
        }
        if (isCalm) pace(slowedRun, Placement.FULL_PACE, nowMillis)
    }

    private fun pace(placement: Placement, percent: Int, nowMillis: Long) {
        fleet.log(
            "run-pace",
            placement.task.name.toString(),
            "worker" to placement.worker.id,
            "percent" to percent,
            "before" to placement.pacePercent
        )
        placement.recordPace(percent, nowMillis)
        fleet.outbox += SchedulerAction.Pace(
            PaceOrder(
                placement.worker.ref,
                fleet.epoch,
                placement.task.name,
                placement.run,
                percent
            )
        )
    }

    /** Forgets steps that have ended. */
    fun removeBaselines(workflow: OpenWorkflow) {
        workflow.steps().forEach { baselines -= it }
    }

    private fun Placement.hasSteadyReadings(nowMillis: Long) = task.step.spec.isServing &&
        percent == Placement.FULL_PACE &&
        nowMillis - startedMillis > READING_SPAN_MILLIS

    companion object {
        /** The headroom that placement aims at: a quarter above the target. */
        const val TARGET_HEADROOM = 1.25

        /** Below this a tail may pass its target before the next reading. */
        const val MIN_HEADROOM = 1.05

        /** Headroom that one neighbour may cost, and all of a worker, without being noticed. */
        private const val NEGLIGIBLE_COST = 0.1
        private const val MAX_HARMLESS_COST = 0.35

        /**
         * How long a task is over its target before neighbours are moved: one or two readings, in
         * which noise and the swing of its own load pass, are cheaper than runs begun anew.
         */
        private const val RELIEF_DELAY_MILLIS = 700L

        /** Half of the users' bound on how long a tail may be over its target. */
        private const val MAX_EXPLAINED_MILLIS = 2_000L

        /** A task without checkpoints that has got further than this is halted, not stopped. */
        private const val MAX_DISCARDED_PERCENT = 40

        /** Headroom of a worker whose serving tasks say nothing. */
        const val UNCONSTRAINED_HEADROOM = 5.0

        /** Headroom assumed of a serving step without a reading yet. */
        const val UNKNOWN_HEADROOM = 1.6

        /** A reading is an average over half a second, and comes a little later. */
        private const val READING_SPAN_MILLIS = 700L

        /** A neighbour placed now works through about this time. */
        private const val LOOK_AHEAD_MILLIS = 700L
        private const val MAX_PREDICTED_CHANGE = 0.8
        private const val BASELINE_WEIGHT = 0.4
        private const val SLOPE_WEIGHT = 0.3
        private const val SLOPE_SPAN_MILLIS = 500.0

        /** Headroom lost a millisecond at the steepest: the whole range in some seconds. */
        private const val MAX_SLOPE_PER_MILLI = 0.0006

        /** Two readings have to show that a worker has recovered before it is shared again. */
        private const val NO_SHARING_MILLIS = 1_500L
    }
}
