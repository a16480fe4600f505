/**
 * Controls how tasks that use idle CPU share workers with serving tasks, so that the tail latency
 * of the serving tasks stays within its target.
 *
 * Neighbours are the tasks on idle CPU beside a serving task. All tasks of a serving step carry the
 * same load, so the headroom that the step would have without neighbours, its baseline, is
 * estimated from all of them. The headroom that remains on a worker decides how many neighbours are
 * placed on it and at which pace they work.
 */
package sycamoremast.coordination.workflow

internal class ColocationController(
    private val fleet: Fleet,
    private val model: TailModel,
    private val forecast: HeadroomForecast
) {
    private val baselines = HashMap<OpenStep, Baseline>()

    private class Baseline(var headroom: Double, var slopePerMilli: Double, var atMillis: Long)

    /** Processes the readings of a new report of [worker] and adjusts the neighbours on it. */
    fun onReport(worker: FleetWorker, nowMillis: Long) {
        if (worker.servingCount == 0 || !worker.isCapacityKnown) return
        val covered = coveredShares(worker, nowMillis)
        val serving = worker.colocation.serving.filter { it.hasSteadyReadings(nowMillis) }
        for (placement in serving) {
            val headroom = placement.headroomOrNull ?: continue
            val image = placement.task.step.spec.image
            val cost = model.cost(image, covered)
            val unloaded = headroom + cost
            forecast.onReading(placement.task.step, unloaded, trust(cost), nowMillis)
            val baseline = updateBaseline(placement.task.step, unloaded, covered, nowMillis)
            model.observe(image, covered, baseline - headroom)
        }
        adjustPaces(worker, nowMillis)
    }

    /** Returns the headroom of [step] without neighbours shortly after now, or null if unknown. */
    fun baselineOrNull(step: OpenStep, nowMillis: Long): Double? {
        val baseline = baselines[step] ?: return null
        val ahead = nowMillis - baseline.atMillis + LOOK_AHEAD_MILLIS
        val change = (baseline.slopePerMilli * ahead).coerceIn(-MAX_PREDICTED_CHANGE, 0.0)
        return baseline.headroom + change
    }

    /**
     * Moves the step's baseline towards [unloaded], by less the more of that is the model's
     * estimate.
     */
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

    /** Returns the average shares of neighbours by image over the time that a reading covers. */
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

    /**
     * Stops or halts neighbours that push a serving task over its target, or restores their pace.
     */
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

            // The estimates failed to find the cause, so all neighbours give way.
            isUnexplained(worker, nowMillis) -> neighbours.forEach { stopOrHalt(it, nowMillis) }

            isOverTargetFor(worker, RELIEF_DELAY_MILLIS, nowMillis) -> {
                val working = neighbours.filter { it.pacePercent > 0 }.toMutableList()
                serving.takeWhile { (it.headroomOrNull ?: UNCONSTRAINED_HEADROOM) < MIN_HEADROOM }
                    .forEach { relieve(it, working, nowMillis) }
            }
        }
    }

    /** Returns the weight of a reading of which neighbours take [cost], by the model's estimate. */
    private fun trust(cost: Double) = 1 / (1 + cost * COST_DISTRUST)

    /** Whether a task on [worker] is over its target for longer than the estimates can explain. */
    fun isUnexplained(worker: FleetWorker, nowMillis: Long) =
        isOverTargetFor(worker, MAX_EXPLAINED_MILLIS, nowMillis)

    private fun isOverTargetFor(worker: FleetWorker, millis: Long, nowMillis: Long) =
        worker.overTargetSinceMillis?.let { nowMillis - it >= millis } == true

    /**
     * Stops or halts the most costly of [working] until [overTarget] regains its missing headroom.
     *
     * Neighbours without a notable effect stay, as the cause may be the load of the serving task
     * itself or the noise of one reading.
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

    /** Stops [placement], or halts it if a stop would discard more work than a pause costs. */
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
                placement.worker.fencingToken,
                placement.task.name,
                placement.run,
                percent
            )
        )
    }

    /** Orders the pace of [rejected] again if it still applies and a later order has overtaken it. */
    fun repeatPace(rejected: PaceOrder, nowMillis: Long) {
        val placement = fleet.workers[rejected.worker.id]?.placements?.get(rejected.task) ?: return
        val isLatest =
            placement.run == rejected.run && placement.pacePercent == rejected.percent
        val isOvertaken = rejected.fencingToken < placement.worker.fencingToken
        if (isLatest && isOvertaken) pace(placement, rejected.percent, nowMillis)
    }

    /** Removes the baselines of the steps of [workflow], which has ended. */
    fun removeBaselines(workflow: OpenWorkflow) {
        workflow.steps().forEach {
            baselines -= it
            forecast.remove(it)
        }
    }

    private fun Placement.hasSteadyReadings(nowMillis: Long) = task.step.spec.isServing &&
        percent == Placement.FULL_PACE &&
        nowMillis - startedMillis > READING_SPAN_MILLIS

    companion object {
        /** The headroom to keep, at which the target is 25% above the tail latency. */
        const val TARGET_HEADROOM = 1.25

        /** Below this headroom, a tail latency may exceed its target before the next reading. */
        const val MIN_HEADROOM = 1.05

        /** Headroom that a neighbour may cost without a notable effect. */
        const val NEGLIGIBLE_COST = 0.1

        /**
         * How long a task is over its target before neighbours are stopped or halted.
         *
         * Within one or two readings, noise and peaks of its own load pass, which costs less than
         * restarted runs.
         */
        private const val RELIEF_DELAY_MILLIS = 300L

        /** Half of the time that users accept for a tail latency over its target. */
        private const val MAX_EXPLAINED_MILLIS = 2_000L

        /**
         * A task without checkpoints that has progressed further than this is halted, not stopped.
         */
        private const val MAX_DISCARDED_PERCENT = 40

        /** Headroom assumed where no serving task has a reading. */
        const val UNCONSTRAINED_HEADROOM = 5.0

        /** How fast a reading loses weight with the cost of the neighbours in it. */
        private const val COST_DISTRUST = 3.0

        /** A reading is an average over 500 ms, and arrives a little later. */
        private const val READING_SPAN_MILLIS = 700L

        /** The time ahead for which headroom is predicted when a neighbour is placed. */
        private const val LOOK_AHEAD_MILLIS = 700L
        private const val MAX_PREDICTED_CHANGE = 0.8
        private const val BASELINE_WEIGHT = 0.4
        private const val SLOPE_WEIGHT = 0.3
        private const val SLOPE_SPAN_MILLIS = 500.0

        /**
         * The largest change of headroom per millisecond, which spans its range in a few seconds.
         */
        private const val MAX_SLOPE_PER_MILLI = 0.0006

        /** Leaves time for two readings to show that the worker has recovered. */
        private const val NO_SHARING_MILLIS = 1_500L
    }
}
