/**
 * Decides whether a poll extends the lease of its worker, and logs for which workers it doesn't.
 *
 * A line gives the number of workers by obstacle, at most once a second and only if that number has
 * changed.
 */
package sycamoremast.coordination.workflow

internal class LeaseGrants(private val fleet: Fleet) {
    /** The workers whose last poll extended no lease although tasks run there. */
    private val obstacles = LinkedHashMap<FleetWorker, LeaseObstacle>()
    private var logged = emptyMap<LeaseObstacle, Int>()
    private var nextLogMillis = Long.MIN_VALUE

    /**
     * Returns the end of the lease that a poll sent now grants, on the clock of [worker], or null.
     *
     * The lease of an unreachable worker is not extended, so that its tasks can restart elsewhere, nor
     * that of a worker which may have restarted: its next incarnation has another clock.
     */
    fun endOrNull(worker: FleetWorker, nowMillis: Long): Long? {
        obstacles -= worker
        if (worker.placements.isEmpty()) return null
        val obstacle = obstacleOrNull(worker, nowMillis)
        if (obstacle == null) return fleet.leaseEndOrNull(worker, nowMillis)
        obstacles[worker] = obstacle
        return null
    }

    private fun obstacleOrNull(worker: FleetWorker, nowMillis: Long): LeaseObstacle? = when {
        worker.contactFailures > 0 -> LeaseObstacle.UNREACHABLE
        !worker.lease.isClockKnown -> LeaseObstacle.CLOCK_UNKNOWN
        !worker.isIntroduced -> LeaseObstacle.INCARNATION_UNKNOWN
        !worker.incarnation.isKnown(nowMillis) -> LeaseObstacle.INCARNATION_UNKNOWN
        !fleet.isRosterDurable -> LeaseObstacle.NO_DURABLE_ROSTER
        !worker.lease.isClockDurable -> LeaseObstacle.NO_HEARTBEAT
        !fleet.mayGrantLease(worker) -> LeaseObstacle.LIMITED_IN_ROSTER
        fleet.leaseEndOrNull(worker, nowMillis) == null -> LeaseObstacle.HEARTBEAT_TOO_OLD
        else -> null
    }

    /** Logs which leases are not extended, if that has changed. */
    fun step(nowMillis: Long) {
        if (nowMillis < nextLogMillis) return
        nextLogMillis = nowMillis + LOG_INTERVAL_MILLIS
        obstacles.keys.removeAll { it.isLost || it.placements.isEmpty() }
        val counts = obstacles.values.groupingBy { it }.eachCount()
        if (counts == logged) return
        logged = counts
        fleet.log(
            "leases-not-extended",
            "epoch-${fleet.epoch}",
            "workers" to obstacles.size,
            "obstacles" to counts.entries.joinToString(",") { (obstacle, n) -> "$obstacle:$n" },
            "first" to obstacles.keys.take(MAX_NAMED).joinToString(",") { it.id },
            "runs" to obstacles.keys.sumOf { it.placements.size },
            "leaseLeftMillis" to obstacles.keys.minOfOrNull { it.lease.remainingMillis(nowMillis) },
            "leasesEndInMillis" to
                (fleet.leaseHorizon.knownMillis - nowMillis).takeIf { fleet.isRosterDurable }
        )
    }

    private companion object {
        const val LOG_INTERVAL_MILLIS = 1_000L
        const val MAX_NAMED = 4
    }
}
