/** Shows how a program owns a shard of workers with this library, without the daemon. */
package sycamoremast.coordination.shard

import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.WorkerPort
import sycamoremast.coordination.lease.LeaseTiming
import sycamoremast.coordination.record.JobSpec

internal object ShardMachineSample {
    /** Owns a shard until [job] has ended, and returns the last state of the shard. */
    fun ownShardUntilJobEnds(
        store: KeyValueStore,
        workers: Map<ListedHost, WorkerPort>,
        job: JobSpec,
        clock: MonotonicClock
    ): ShardSnapshot {
        val timing = LeaseTiming(ttlMillis = 3_000, marginMillis = 200)
        val settings = ShardSettings("host-1", "host-1#1", timing, timing, heartbeatMillis = 500)
        val place = ShardLocation("app/owners/0", "app/shards/0", ownerTtl = 3.seconds)
        val calls = ShardCalls(place, store) { name ->
            workers.entries.firstOrNull { it.key.name == name }?.value
        }
        val machine = ShardMachine(settings)
        val events = ArrayDeque<ShardEvent>()
        events += ShardEvent.WorkersListed(workers.keys.toList())
        events += ShardEvent.JobsListed("team", 1, mapOf("survey" to job))
        while (machine.snapshot().document.jobs.none { it.spec == null }) {
            val event = events.removeFirstOrNull() ?: ShardEvent.Tick
            machine.handle(event, clock.nowMillis()).mapNotNullTo(events) { calls.call(it) }
        }
        return machine.snapshot()
    }
}
