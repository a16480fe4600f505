/** Who shares a worker: its serving tasks, and what their neighbours take. */
package sycamoremast.coordination.workflow

/**
 * A worker's [serving] runs, their [images], and the [shares] of the worker that tasks on idle
 * processors take, by image; made anew after each change of the worker's runs.
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

        /** Returns the share of its worker that [placement] takes at [percent] of its pace. */
        fun shareOf(placement: Placement, percent: Int = placement.pacePercent): Double =
            placement.task.step.spec.demand.milliCpus.toDouble() * percent /
                (Placement.FULL_PACE * placement.worker.capacity.milliCpus)
    }
}
