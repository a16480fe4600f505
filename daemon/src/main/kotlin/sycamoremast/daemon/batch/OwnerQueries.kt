/** Queries the owners of shards for the progress of their jobs. */
package sycamoremast.daemon.batch

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.shard.ShardSnapshot
import sycamoremast.daemon.peer.OwnedJob
import sycamoremast.daemon.peer.OwnedShard
import sycamoremast.daemon.peer.OwnedShards
import sycamoremast.daemon.peer.OwnedShardsQuery
import sycamoremast.daemon.peer.PeerError
import sycamoremast.daemon.peer.PeerNetwork

/** The owner that a shard's document names, and the epoch in which it took over the shard. */
internal data class RecordedOwner(val host: String, val epoch: Long)

/** The result of querying the owner of a shard. */
internal sealed interface OwnerAnswer {
    /** The jobs that are open or have running tasks. */
    data class Known(val jobs: Map<JobKey, OwnedJob>) : OwnerAnswer

    /** The owner did not report on the shard because of [reason]. */
    data class Unavailable(val reason: String) : OwnerAnswer
}

/** Queries other hosts through [peers], and [host] itself through [ownedShards]. */
internal class OwnerQueries(
    private val host: String,
    private val peers: PeerNetwork,
    private val ownedShards: (team: String?) -> List<OwnedShard>
) {
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }

    /** Registers the handler for queries of other hosts. */
    fun start() = peers.handle(OwnedShardsQuery::class) { _, query ->
        OwnedShards(ownedShards(query.team))
    }

    /** Queries the owners in parallel; returns each owner's answer after at most one timeout. */
    fun ask(owners: Map<ShardId, RecordedOwner>, team: String?): Map<ShardId, OwnerAnswer> {
        val hosts = owners.values.map { it.host }.distinct()
        val answers = executor.invokeAll(hosts.map { Callable { askHost(it, team) } })
        val byHost = hosts.zip(answers.map { it.get() }).toMap()
        return owners.mapValues { (id, owner) -> byHost.getValue(owner.host)(id, owner) }
    }

    private fun askHost(owner: String, team: String?): (ShardId, RecordedOwner) -> OwnerAnswer {
        if (owner == host) return { id, recorded -> answerOf(ownedShards(team), id, recorded) }
        val answer = peers.ask(owner, OwnedShardsQuery(team), ASK_TIMEOUT)
        return { id, recorded ->
            answer.fold(
                { OwnerAnswer.Unavailable("its owner $owner could not be asked: ${it.reason()}") },
                { answerOf((it as? OwnedShards)?.shards.orEmpty(), id, recorded) }
            )
        }
    }

    private fun answerOf(shards: List<OwnedShard>, id: ShardId, owner: RecordedOwner): OwnerAnswer {
        val shard = shards.find {
            it.availabilityZone == id.availabilityZone &&
                it.number == id.number
        }
        if (shard == null || shard.epoch < owner.epoch) {
            return OwnerAnswer.Unavailable(
                "its recorded owner ${owner.host} does not own shard $id now"
            )
        }
        return OwnerAnswer.Known(shard.jobs.associateBy { JobKey(it.team, it.name) })
    }

    private fun PeerError.reason() = when (this) {
        is PeerError.NotConnected -> "not connected"
        is PeerError.NoAnswer -> "no answer within $ASK_TIMEOUT"
    }

    private companion object {
        val ASK_TIMEOUT = 500.milliseconds
    }
}

/** Returns the jobs of [team], or of every team, that are open or have running tasks. */
internal fun ShardSnapshot.toOwnedShard(id: ShardId, team: String?): OwnedShard {
    val jobs = document.jobs
        .filter { team == null || it.team == team }
        .filter { it.state == JobState.ACCEPTED || it.key in running }
        .map {
            val isOpen = it.state == JobState.ACCEPTED
            OwnedJob(it.team, it.name, it.tasks, it.finished.size, running[it.key] ?: 0, isOpen)
        }
    return OwnedShard(id.availabilityZone, id.number, epoch, jobs)
}
