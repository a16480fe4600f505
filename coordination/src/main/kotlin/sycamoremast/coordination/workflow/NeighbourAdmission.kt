/**
 * Decides whether a task that uses idle CPU may start beside the serving tasks of a worker.
 *
 * The cost of a task is the headroom that it takes from a serving task. A task may start where all
 * serving tasks are expected to stay below their target until it ends. Of these workers, those on
 * which it costs least are preferred, then those on which few other images could run.
 */
package sycamoremast.coordination.workflow

internal class NeighbourAdmission(
    private val model: TailModel,
    private val forecast: HeadroomForecast,
    private val colocation: ColocationController
) {
    /** The last task that was started to learn the effect of a pair of images. */
    private val trials = HashMap<ImagePair, Placement>()

    /** Returns how well [extra] suits [worker], or null if it may not start there. */
    fun scoreOrNull(worker: FleetWorker, extra: WorkflowStep, nowMillis: Long): Double? {
        if (worker.servingCount == 0) return NO_SERVING_SCORE
        if (nowMillis < worker.noSharingBeforeMillis || isTrialRunning(worker, extra)) return null
        val added = addedCost(worker, extra)
        val isHarmless = added <= NEGLIGIBLE_COST &&
            !colocation.isUnexplained(worker, nowMillis) &&
            maxCost(worker) + added <= MAX_HARMLESS_COST
        if (!isHarmless && !staysUnderTarget(worker, extra, nowMillis)) return null
        val tolerance = model.tolerance(worker.colocation.images)
        return HARMLESS_SCORE - added * COST_WEIGHT - tolerance * TOLERANCE_WEIGHT
    }

    /** Records that [placement] was started, as it may show effects that are not known yet. */
    fun onPlaced(placement: Placement) {
        val spec = placement.task.step.spec
        if (!spec.usesIdleCpu) return
        for (serving in placement.worker.colocation.images) {
            val pair = ImagePair(serving, spec.image)
            if (model.isUncertain(pair)) trials[pair] = placement
        }
    }

    /** Whether a task is running that will show the effect of [extra] on a serving image there. */
    private fun isTrialRunning(worker: FleetWorker, extra: WorkflowStep): Boolean =
        worker.colocation.images.any { serving ->
            val pair = ImagePair(serving, extra.image)
            val trial = trials[pair]
            trial != null && trial.phase != PlacementPhase.RELEASED && model.isUncertain(pair)
        }

    private fun addedCost(worker: FleetWorker, extra: WorkflowStep): Double {
        val share = extra.demand.milliCpus.toDouble() / worker.sharedMilliCpus
        return share * worker.colocation.images.maxOf { model.effect(it, extra.image) }
    }

    private fun maxCost(worker: FleetWorker) =
        worker.colocation.images.maxOf { model.cost(it, worker.colocation.shares) }

    /** Whether all serving tasks on [worker] are expected to meet their target beside [extra]. */
    private fun staysUnderTarget(
        worker: FleetWorker,
        extra: WorkflowStep,
        nowMillis: Long
    ): Boolean {
        val share = extra.demand.milliCpus.toDouble() / worker.sharedMilliCpus
        return worker.colocation.serving.all {
            val image = it.task.step.spec.image
            val cost = model.cost(image, worker.colocation.shares) +
                model.effect(image, extra.image) * share
            val unloaded = lowestBaseline(it.task.step, extra.estimateMillis, nowMillis)
            unloaded - cost >= ColocationController.TARGET_HEADROOM
        }
    }

    /** Returns the lowest headroom of [step] without neighbours within [durationMillis]. */
    private fun lowestBaseline(step: OpenStep, durationMillis: Long, nowMillis: Long): Double {
        val present = colocation.baselineOrNull(step, nowMillis) ?: UNKNOWN_HEADROOM
        val lowest = forecast.lowestOrNull(step, nowMillis, durationMillis) ?: UNKNOWN_HEADROOM
        return minOf(present, lowest)
    }

    private companion object {
        /** Headroom that one neighbour, or all on a worker, may cost without a notable effect. */
        const val NEGLIGIBLE_COST = ColocationController.NEGLIGIBLE_COST
        const val MAX_HARMLESS_COST = 0.35

        /**
         * Headroom assumed for a step without a forecast, for services that are planned for peaks.
         */
        const val UNKNOWN_HEADROOM = 1.6

        /** Weights relative to the idle share of a worker; only their order matters. */
        const val HARMLESS_SCORE = 0.95
        const val NO_SERVING_SCORE = 0.5
        const val COST_WEIGHT = 2.0
        const val TOLERANCE_WEIGHT = 0.5
    }
}
