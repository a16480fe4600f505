/** Asks the owners of shards how the jobs there stand. */
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

/** A shard's recorded owner, and the epoch under which it took the shard over. */
internal data class RecordedOwner(val host: String, val epoch: Long)

/** What the owner of a shard said of it. */
internal sealed interface OwnerAnswer {
    /** The jobs that are open, or have tasks running. */
    data class Known(val jobs: Map<JobKey, OwnedJob>) : OwnerAnswer

    /** The owner did not tell, because of [reason]. */
    data class NotKnown(val reason: String) : OwnerAnswer
}

/** Asks over [peers], or looks at what [host] itself [owns][owned]. */
internal class OwnerQueries(
    private val host: String,
    private val peers: PeerNetwork,
    private val owned: (team: String?) -> List<OwnedShard>
) {
    private val askers = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }

    /** Begins to answer other hosts. */
    fun start() = peers.handle(OwnedShardsQuery::class) { _, query ->
        OwnedShards(owned(query.team))
    }

    /** Returns what the owner of each shard answers within the bound of one question. */
    fun ask(owners: Map<ShardId, RecordedOwner>, team: String?): Map<ShardId, OwnerAnswer> {
        val hosts = owners.values.map { it.host }.distinct()
        val answers = askers.invokeAll(hosts.map { Callable { askHost(it, team) } })
        val byHost = hosts.zip(answers.map { it.get() }).toMap()
        return owners.mapValues { (id, owner) -> byHost.getValue(owner.host)(id, owner) }
    }

    private fun askHost(owner: String, team: String?): (ShardId, RecordedOwner) -> OwnerAnswer {
        if (owner == host) return { id, recorded -> find(owned(team), id, recorded) }
        val answer = peers.ask(owner, OwnedShardsQuery(team), ASK_TIMEOUT)
        return { id, recorded ->
            answer.fold(
                { OwnerAnswer.NotKnown("its owner $owner could not be asked: ${it.reason()}") },
                { find((it as? OwnedShards)?.shards.orEmpty(), id, recorded) }
            )
        }
    }

    private fun find(shards: List<OwnedShard>, id: ShardId, owner: RecordedOwner): OwnerAnswer {
        val shard = shards.find {
            it.availabilityZone == id.availabilityZone &&
                it.number == id.number
        }
        if (shard == null || shard.epoch < owner.epoch) {
            return OwnerAnswer.NotKnown(
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

/** Returns the jobs of [team], or of every team, that are open or have tasks running. */
internal fun ShardSnapshot.owned(id: ShardId, team: String?): OwnedShard {
    val jobs = document.jobs
        .filter { team == null || it.team == team }
        .filter { it.state == JobState.ACCEPTED || it.key in running }
        .map {
            val isOpen = it.state == JobState.ACCEPTED
            OwnedJob(it.team, it.name, it.tasks, it.finished.size, running[it.key] ?: 0, isOpen)
        }
    return OwnedShard(id.availabilityZone, id.number, epoch, jobs)
}
