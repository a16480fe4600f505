/** The serving tasks on a worker, and the CPU shares of the tasks beside them. */
package sycamoremast.coordination.workflow

/**
 * A snapshot of a worker's [serving] runs, their [images], and the [shares] of its CPU that tasks
 * on idle CPU take, by image. It is rebuilt after each change of the worker's runs.
 */
internal class ColocationView private constructor(
    val serving: List<Placement>,
    val images: Set<String>,
    val shares: Map<String, Double>
) {
    companion object {
        fun of(worker: FleetWorker): ColocationView {
            val (serving, others) = worker.placements.values.partition {
                it.task.step.spec.isServing
            }
            val shares = HashMap<String, Double>()
            for (placement in others) {
                val spec = placement.task.step.spec
                if (spec.usesIdleCpu) shares.merge(spec.image, shareOf(placement), Double::plus)
            }
            return ColocationView(
                serving,
                serving.mapTo(HashSet()) {
                    it.task.step.spec.image
                },
                shares
            )
        }

        /**
         * Returns the share of its worker's CPU that [placement] takes at [percent] of full pace.
         */
        fun shareOf(placement: Placement, percent: Int = placement.pacePercent): Double =
            placement.task.step.spec.demand.milliCpus.toDouble() * percent /
                (Placement.FULL_PACE * placement.worker.sharedMilliCpus)
    }
}
