/** What a platform lists in its store: the routes in force and its workers. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.WorkerListing

/** Names the platform's own keys and reads what lies there. */
interface PlatformCatalog {
    /** The key of the configuration in force. */
    val routingKey: String

    /** The prefix of the workers' entries. */
    val workersPrefix: String

    /** Returns the routes that [entry] holds, or null if it can't be read. */
    fun routingOrNull(entry: StoreEntry): RoutingTable?

    /** Returns the worker that [entry] describes, or null if it names none that may be used. */
    fun workerOrNull(entry: StoreEntry): WorkerListing?

    /** Returns the ID of the worker whose entry lies at [key]. */
    fun workerId(key: String): String
}

/** The routes of configuration [version], which only grows. */
data class RoutingTable(val version: Long, val routes: List<QueueRoute>) {
    /** The policies by the names of their queues. */
    val queues: Map<String, QueuePolicy> = routes.associate { it.queue.name to it.queue }

    /** Returns the route with the longest prefix of [path] at [host], or null if none fits. */
    fun routeOrNull(host: String, path: String): QueueRoute? =
        routes.filter { it.host.equals(host, ignoreCase = true) && path.startsWith(it.prefix) }
            .maxByOrNull { it.prefix.length }
}

/** Sends requests for [host] whose path begins with [prefix] to [queue]. */
data class QueueRoute(val host: String, val prefix: String, val queue: QueuePolicy)
