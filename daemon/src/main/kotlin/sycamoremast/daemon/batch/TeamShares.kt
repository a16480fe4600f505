/** How a team's quota and jobs are divided among shards, the same on every host. */
package sycamoremast.daemon.batch

import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.coordination.Resources

/** Returns the shard that runs [job] of [team]. */
internal fun BatchSettings.shardOf(team: String, job: Job) =
    ShardId(job.availabilityZone, shardOf("$team/${job.name}"))

/**
 * Returns the most that a team may hold in each shard that has jobs of it.
 *
 * The quota is divided evenly, so that the shards' owners need not ask each other. A shard's part is
 * never less than one task of its largest job needs.
 */
internal fun BatchSettings.quotaParts(configuration: TeamConfiguration): Map<ShardId, Resources> {
    val byShard = configuration.jobs.groupBy { shardOf(configuration.team, it) }
    val even = configuration.quota.toResources().dividedBy(byShard.size)
    return byShard.mapValues { (_, jobs) ->
        jobs.fold(even) { part, job -> part.atLeast(job.toSpec().resources) }
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
