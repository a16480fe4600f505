/** Detects jobs that exceed the capacity of every worker or the quota of their team. */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobSpec

/**
 * Returns the reason why no task of [spec] can ever run, or null if there is none.
 *
 * [workers] are the capacities of all eligible workers, and [quota] is the quota of the job's team.
 * While no worker is known, the job may still run later, so null is returned.
 */
fun whyNeverFits(spec: JobSpec, workers: Collection<Resources>, quota: Resources?): String? {
    val need = spec.resources
    if (quota != null && !need.fitsIn(quota)) {
        return "a task needs ${need.describe()}, more than the team's quota of ${quota.describe()}"
    }
    if (workers.isEmpty() || workers.any { need.fitsIn(it) }) return null
    return "a task needs ${need.describe()}; no worker has that, the largest being " +
        workers.maxWith(compareBy({ it.milliCpus }, { it.memoryMib })).describe()
}

private fun Resources.describe() = "$milliCpus mCPU, $memoryMib MiB and $accelerators accelerators"
