/** Metrics of the batch scheduler. */
package sycamoremast.daemon.batch

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import sycamoremast.coordination.shard.ShardAction
import sycamoremast.coordination.shard.ShardSnapshot

/** Counts the calls of all shards' loops and measures the documents of the owned shards. */
internal class BatchMeters(private val registry: MeterRegistry) {
    private val storeReads = counter(registry, "sycamoremast.batch.store.reads")
    private val storeWrites = counter(registry, "sycamoremast.batch.store.writes")
    private val workerCalls = counter(registry, "sycamoremast.batch.worker.calls")
    private val taskStarts = counter(registry, "sycamoremast.batch.task.starts")

    fun count(action: ShardAction) {
        when (action) {
            is ShardAction.ReadOwner, is ShardAction.ReadDocument -> storeReads.increment()

            is ShardAction.GrantLease, is ShardAction.KeepLease, is ShardAction.RevokeLease,
            is ShardAction.ClaimOwner, is ShardAction.WriteDocument -> storeWrites.increment()

            is ShardAction.Renew, is ShardAction.Control -> workerCalls.increment()

            is ShardAction.Start -> {
                workerCalls.increment()
                taskStarts.increment()
            }

            is ShardAction.ReportUnknown, is ShardAction.Note -> Unit
        }
    }

    /** Registers gauges over the documents of those shards of [loops] that this host owns. */
    fun registerGauges(loops: List<ShardLoop>) {
        gauge("sycamoremast.batch.document.bytes", loops) { owned ->
            owned.maxOfOrNull { it.documentBytes } ?: 0
        }
        gauge("sycamoremast.batch.jobs.held.back", loops) { owned -> owned.sumOf { it.heldBack } }
    }

    private fun gauge(name: String, loops: List<ShardLoop>, value: (List<ShardSnapshot>) -> Int) {
        registry.gauge(name, loops) {
            value(it.map(ShardLoop::snapshot).filter(ShardSnapshot::isOwner)).toDouble()
        }
    }

    private fun counter(registry: MeterRegistry, name: String): Counter = registry.counter(name)
}
