/** The data that a platform keeps in its store: the active routes and the workers. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.WorkerListing

/** Names the platform's keys in the store and decodes their entries. */
interface PlatformCatalog {
    /** The key of the active configuration. */
    val routingKey: String

    /** The prefix of the workers' entries. */
    val workersPrefix: String

    /** Returns the routes that [entry] holds, or null if it can't be read. */
    fun routingOrNull(entry: StoreEntry): RoutingTable?

    /** Returns the worker that [entry] describes, or null if it describes no usable worker. */
    fun workerOrNull(entry: StoreEntry): WorkerListing?

    /** Returns the ID of the worker whose entry is stored at [key]. */
    fun workerId(key: String): String
}

/**
 * The routes of configuration [version]; versions only increase.
 *
 * The workers of [guardingServices] reject a start that exceeds their capacity; others take it.
 */
data class RoutingTable(
    val version: Long,
    val routes: List<QueueRoute>,
    val guardingServices: Set<String> = emptySet()
) {
    /** The queue policies by queue name. */
    val queues: Map<String, QueuePolicy> = routes.associate { it.queue.name to it.queue }

    /** Returns the route of [host] with the longest prefix of [path], or null if none matches. */
    fun routeOrNull(host: String, path: String): QueueRoute? =
        routes.filter { it.host.equals(host, ignoreCase = true) && path.startsWith(it.prefix) }
            .maxByOrNull { it.prefix.length }
}

/** Routes requests for [host] with a path that starts with [prefix] to [queue]. */
data class QueueRoute(val host: String, val prefix: String, val queue: QueuePolicy)
