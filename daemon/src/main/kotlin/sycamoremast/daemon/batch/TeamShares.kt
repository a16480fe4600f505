/** Divides a team's quota and jobs among shards, with the same result on every host. */
package sycamoremast.daemon.batch

import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.coordination.Resources

/** Returns the shard that runs the job [job] of [team]. */
internal fun BatchSettings.shardOf(team: String, job: Job) =
    ShardId(job.availabilityZone, shardOf("$team/${job.name}"))

/**
 * Returns the team's quota in each shard that has jobs of the team.
 *
 * The quota is divided evenly, so that the owners of shards need no coordination. The quota of a
 * shard always suffices for one task of each of the team's jobs in it.
 */
internal fun BatchSettings.quotaByShard(configuration: TeamConfiguration): Map<ShardId, Resources> {
    val byShard = configuration.jobs.groupBy { shardOf(configuration.team, it) }
    val even = configuration.quota.toResources().dividedBy(byShard.size)
    return byShard.mapValues { (_, jobs) ->
        jobs.fold(even) { quota, job -> quota.atLeast(job.toSpec().resources) }
    }
}

internal fun Quota.toResources() = Resources(milliCpus, memoryMib, accelerators)

private fun Resources.dividedBy(parts: Int) =
    Resources(milliCpus / parts, memoryMib / parts, accelerators / parts)

private fun Resources.atLeast(other: Resources) = Resources(
    maxOf(milliCpus, other.milliCpus),
    maxOf(memoryMib, other.memoryMib),
    maxOf(accelerators, other.accelerators)
)
