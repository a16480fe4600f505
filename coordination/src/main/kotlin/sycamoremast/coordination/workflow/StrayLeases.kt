/**
 * What the next owner has to know of leases that stray orders may have granted.
 *
 * A stray order reaches another incarnation of a worker than the one that it was meant for. Where
 * workers accept no longer leases than a successor counts from heartbeats, it needs nothing more.
 */
package sycamoremast.coordination.workflow

/** The interval of heartbeats and the time until one is durable. */
private const val USUAL_HEARTBEAT_AGE_MILLIS = SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS + 300

/** Whether a successor also waits for a stray lease that a worker accepts about now. */
internal fun Fleet.areStrayLeasesBounded(nowMillis: Long): Boolean {
    val heartbeatMillis = leaseHorizon.knownMillis - settings.leaseHorizonMillis
    return settings.doHeartbeatsBoundStrayLeases &&
        nowMillis - heartbeatMillis <= USUAL_HEARTBEAT_AGE_MILLIS
}

/** Returns how long leases by stray orders may last, by worker ID, where the next owner needs it. */
internal fun Fleet.strayLeasesLeft(nowMillis: Long): Map<String, Long> =
    if (settings.doHeartbeatsBoundStrayLeases) {
        emptyMap()
    } else {
        workers.values.filter { it.lease.strayLapsedByMillis > nowMillis }
            .associate { it.id to it.lease.strayLapsedByMillis - nowMillis }
    }

/**
 * Returns the start times of the incarnations that reject stray orders, by worker ID, where the next
 * owner needs them.
 */
internal fun Fleet.recordedIncarnations(): Map<String, Long> =
    if (settings.doHeartbeatsBoundStrayLeases) {
        emptyMap()
    } else {
        workers.values.mapNotNull { worker -> recordedStartOrNull(worker)?.let { worker.id to it } }
            .toMap()
    }

/** A worker that has not answered this owner may still be in the incarnation that it inherited. */
private fun recordedStartOrNull(worker: FleetWorker): Long? =
    if (worker.incarnation.startedUnixMillis == null) {
        worker.incarnation.inheritedStartUnixMillis
    } else {
        worker.introducedStartUnixMillis
    }
