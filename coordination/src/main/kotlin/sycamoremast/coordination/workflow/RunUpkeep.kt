/**
 * What time brings: leases that have lapsed, stops to repeat, runs that stand still, polls.
 */
package sycamoremast.coordination.workflow

internal class RunUpkeep(private val fleet: Fleet, private val tracker: RunTracker) {
    fun step(nowMillis: Long) {
        for (worker in fleet.workers.values.toList()) {
            if (worker.hasSurelyLapsed(nowMillis)) {
                // Another owner may reach the worker and prolong its lease.
                if (fleet.isSoleOwner) lapsed(worker, nowMillis)
            } else if (isForgettable(worker, nowMillis)) {
                tracker.lose(worker, nowMillis, "no longer listed")
            }
            for (placement in worker.placements.values.toList()) step(placement, nowMillis)
        }
    }

    private fun isForgettable(worker: FleetWorker, nowMillis: Long) = !worker.isListed &&
        worker.isAccounted &&
        worker.placements.isEmpty() &&
        nowMillis > worker.lapsedByMillis

    private fun lapsed(worker: FleetWorker, nowMillis: Long) {
        if (!worker.isAccounted) fleet.mayPlace = true
        worker.isAccounted = true
        if (worker.placements.isNotEmpty() || !worker.isListed) {
            if (worker.isListed) {
                tracker.releaseLapsed(worker, nowMillis)
            } else {
                tracker.lose(worker, nowMillis, "lease lapsed")
            }
        }
    }

    private fun step(placement: Placement, nowMillis: Long) {
        val sinceMillis = nowMillis - placement.sinceMillis
        when (placement.phase) {
            PlacementPhase.STOPPING -> if (sinceMillis >= STOP_REPEAT_MILLIS) {
                placement.repeatStop(nowMillis)
                fleet.sendStop(placement)
            }

            PlacementPhase.RUNNING -> if (isStuck(placement, nowMillis)) {
                placement.worker.barredUntilMillis = nowMillis + STUCK_PAUSE_MILLIS
                fleet.stop(placement, nowMillis, "no progress")
            }

            else -> Unit
        }
    }

    private fun isStuck(placement: Placement, nowMillis: Long): Boolean {
        val spec = placement.task.step.spec
        if (spec.isLongRunning || placement.worker.contactFailures > 0) return false
        if (placement.pacePercent < Placement.FULL_PACE) return false
        return nowMillis - placement.progressedMillis > STUCK_MILLIS
    }

    /** Adds the polls that are due to the outbox. */
    fun poll(nowMillis: Long) {
        for (worker in fleet.workers.values) {
            if (worker.isPolling || worker.isGone) continue
            if (nowMillis < worker.nextPollMillis && !worker.isLastPollDue(nowMillis)) continue
            if (isPollDue(worker, nowMillis)) poll(worker, nowMillis)
        }
    }

    private fun isPollDue(worker: FleetWorker, nowMillis: Long): Boolean {
        if (worker.recordedEnd > worker.acknowledgedEnd) return true
        val hasUnrecorded = worker.seenEnd > worker.recordedEnd
        if (hasUnrecorded && worker.isAccounted) {
            return nowMillis > worker.lastPollMillis + UNRECORDED_POLL_MILLIS
        }
        return !worker.isAccounted ||
            worker.contactFailures > 0 ||
            worker.placements.isNotEmpty() ||
            !worker.isSynchronized
    }

    private fun poll(worker: FleetWorker, nowMillis: Long) {
        // An unreachable worker gets no longer lease: its tasks have to be free to restart some time.
        val leaseEnd = worker.leaseEndOrNull(nowMillis, fleet.settings)
            ?.takeIf { worker.placements.isNotEmpty() && worker.contactFailures == 0 }
        val isIncarnationKnown = worker.isIncarnationKnown(nowMillis)
        val mayWait = worker.isAccounted &&
            isIncarnationKnown &&
            worker.contactFailures == 0 &&
            worker.placements.isNotEmpty() &&
            worker.seenEnd == worker.recordedEnd &&
            worker.placements.values.none { it.isToBeSettled }
        worker.isPolling = true
        worker.lastPollMillis = nowMillis
        val acknowledged = if (isIncarnationKnown) worker.recordedEnd else 0
        if (isIncarnationKnown) worker.acknowledgedEnd = acknowledged
        if (leaseEnd != null) worker.gaveLease(fleet.settings.lapsedBy(nowMillis))
        val isShared = worker.servingCount > 0 && worker.idleMilliCpus > 0
        val longest = if (isShared) SHARED_POLL_MILLIS else fleet.settings.pollWaitMillis
        val wait = if (mayWait) longest else 0
        fleet.outbox += SchedulerAction.Poll(
            PollOrder(worker.ref, fleet.epoch, acknowledged, leaseEnd, wait, nowMillis)
        )
    }

    private companion object {
        /** Readings of shared workers are averages of half a second. */
        const val SHARED_POLL_MILLIS = 400L

        /** A stop without an answer is sent again after this. */
        const val STOP_REPEAT_MILLIS = 600L

        /** Longer than any calm task goes between two changes of its percent. */
        const val STUCK_MILLIS = 3_000L
        const val STUCK_PAUSE_MILLIS = 4_000L

        /** Keeps leases alive while ends wait to be recorded, without asking in a tight loop. */
        const val UNRECORDED_POLL_MILLIS = 500L
    }
}
