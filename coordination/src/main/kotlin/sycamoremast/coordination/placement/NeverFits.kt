/** Why a job could never run. */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobSpec

/**
 * Returns why no task of [spec] could ever run, or null if one could.
 *
 * [workers] are the capacities of all workers that might run it, and [quota] is the most that its
 * team may hold. With no worker known at all the job may still run one day, so that is no reason.
 */
fun whyNeverFits(spec: JobSpec, workers: Collection<Resources>, quota: Resources?): String? {
    val need = spec.resources
    if (quota != null && !need.fitsIn(quota)) {
        return "a task needs ${need.print()}, more than the team's quota of ${quota.print()}"
    }
    if (workers.isEmpty() || workers.any { need.fitsIn(it) }) return null
    return "a task needs ${need.print()}; no worker has that, the largest being " +
        workers.maxWith(compareBy({ it.milliCpus }, { it.memoryMib })).print()
}

private fun Resources.print() = "$milliCpus mCPU, $memoryMib MiB and $accelerators accelerators"
