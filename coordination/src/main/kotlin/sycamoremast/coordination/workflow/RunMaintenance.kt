/**
 * Handles what becomes due with time: lapsed leases, stops to retry, stuck runs and polls.
 */
package sycamoremast.coordination.workflow

internal class RunMaintenance(
    private val fleet: Fleet,
    private val tracker: RunTracker,
    recorder: Recorder
) {
    private val stuckRuns = StuckRuns(fleet, recorder)
    private val leases = LeaseGrants(fleet)

    fun step(nowMillis: Long) {
        tracker.step(nowMillis)
        for (worker in fleet.workers.values.toList()) {
            if (worker.hasCertainlyLapsed(nowMillis)) {
                // Another owner might reach the worker and extend its lease.
                if (fleet.isSoleOwner) onLapsed(worker, nowMillis)
            } else if (isRemovable(worker, nowMillis)) {
                tracker.markLost(worker, nowMillis, "no longer listed")
            }
            for (placement in worker.placements.values) step(placement, nowMillis)
            worker.reservations.expire(nowMillis)
        }
    }

    private fun isRemovable(worker: FleetWorker, nowMillis: Long) = !worker.isListed &&
        worker.isReconciled &&
        worker.placements.isEmpty() &&
        nowMillis > worker.lease.lapsedByMillis

    private fun onLapsed(worker: FleetWorker, nowMillis: Long) {
        if (!worker.isReconciled) fleet.isPlacementDue = true
        worker.isReconciled = true
        if (worker.placements.isNotEmpty() || !worker.isListed) {
            if (worker.isListed) {
                tracker.releaseLapsed(worker, nowMillis)
            } else {
                tracker.markLost(worker, nowMillis, "lease lapsed", hasEnded = false)
            }
        }
    }

    private fun step(placement: Placement, nowMillis: Long) {
        val elapsedMillis = nowMillis - placement.phaseSinceMillis
        when (placement.phase) {
            PlacementPhase.STOPPING -> if (elapsedMillis >= STOP_RETRY_MILLIS) {
                placement.restartStopTimer(nowMillis)
                fleet.sendStop(placement)
            }

            PlacementPhase.RUNNING -> stuckRuns.stopIfStuck(placement, nowMillis)

            else -> Unit
        }
    }

    /** Adds the polls that are due to the outbox. */
    fun poll(nowMillis: Long) {
        for (worker in fleet.workers.values) {
            if (worker.isLost || isLapseNear(worker, nowMillis)) continue
            if (nowMillis < worker.nextPollMillis && !worker.isFinalPollDue(nowMillis)) continue
            when {
                worker.isPolling -> if (isIntroductionDue(worker, nowMillis)) {
                    introduce(worker, nowMillis)
                }

                isPollDue(worker, nowMillis) -> poll(worker, nowMillis)
            }
        }
        leases.step(nowMillis)
    }

    /**
     * Whether a poll sent now would delay the final poll, which is sent once the lease has lapsed.
     */
    private fun isLapseNear(worker: FleetWorker, nowMillis: Long): Boolean =
        worker.contactFailures > 0 &&
            nowMillis in
            worker.lease.lapsedByMillis - FAILED_POLL_MILLIS..worker.lease.lapsedByMillis

    /**
     * Whether the worker has to show its incarnation although a poll is open.
     *
     * That one may wait in an incarnation that is gone: where the worker ends silently, it takes
     * until the timeout to fail.
     */
    private fun isIntroductionDue(worker: FleetWorker, nowMillis: Long): Boolean =
        worker.isPollWaiting &&
            worker.introductionSentMillis == null &&
            (
                worker.incarnation.isInDoubt ||
                    (worker.hasAwaitingStarts && !worker.incarnation.isKnown(nowMillis))
                )

    private fun introduce(worker: FleetWorker, nowMillis: Long) {
        worker.introductionSentMillis = nowMillis
        worker.lastPollMillis = nowMillis
        fleet.outbox += SchedulerAction.Poll(
            PollOrder(
                worker.ref,
                worker.fencingToken,
                acknowledgedEnd = 0,
                leaseEndMillis = null,
                waitMillis = 0,
                sentMillis = nowMillis
            )
        )
    }

    private fun isPollDue(worker: FleetWorker, nowMillis: Long): Boolean {
        if (worker.recordedEnd > worker.acknowledgedEnd) return true
        val hasUnrecorded = worker.seenEnd > worker.recordedEnd
        if (hasUnrecorded && (worker.isReconciled || worker.hasReported)) {
            return worker.isLeaseWithheld ||
                isIncarnationSought(worker) ||
                nowMillis > worker.lastPollMillis + UNRECORDED_POLL_MILLIS
        }
        return !worker.isReconciled ||
            isIncarnationSought(worker) ||
            worker.contactFailures > 0 ||
            worker.placements.isNotEmpty() ||
            worker.unknownRuns.isNotEmpty() ||
            worker.isReportDue ||
            !worker.lease.isClockKnown
    }

    /** Whether starts or leases wait until the worker has shown which incarnation it is in. */
    private fun isIncarnationSought(worker: FleetWorker): Boolean = !worker.isIntroduced ||
        worker.incarnation.isInDoubt ||
        worker.hasAwaitingStarts

    private fun poll(worker: FleetWorker, nowMillis: Long) {
        val leaseEnd = leases.endOrNull(worker, nowMillis)
        val isIncarnationKnown = worker.incarnation.isKnown(nowMillis)
        val acknowledges = isIncarnationKnown && worker.recordedEnd > worker.acknowledgedEnd
        // A poll that waits in the worker's next incarnation would acknowledge ends as they come.
        val mayWait = isIncarnationKnown && !acknowledges && mayWait(worker)
        worker.isPolling = true
        worker.isPollWaiting = mayWait
        worker.isLeaseWithheld = leaseEnd == null &&
            worker.placements.isNotEmpty() &&
            worker.contactFailures == 0 &&
            !isIncarnationKnown
        worker.isReportDue = false
        worker.lastPollMillis = nowMillis
        val acknowledged = if (acknowledges) worker.recordedEnd else 0
        if (acknowledges) worker.acknowledgedEnd = acknowledged
        if (leaseEnd != null) {
            worker.lease.record(fleet.settings.lapsedBy(nowMillis, fleet.getsShortLeases(worker)))
        }
        val wait = when {
            !mayWait -> 0
            leaseEnd == null -> minOf(LEASELESS_POLL_MILLIS, maxWaitMillis(worker, nowMillis))
            else -> maxWaitMillis(worker, nowMillis)
        }
        fleet.outbox += SchedulerAction.Poll(
            PollOrder(worker.ref, worker.fencingToken, acknowledged, leaseEnd, wait, nowMillis)
        )
    }

    private fun mayWait(worker: FleetWorker): Boolean = worker.isReconciled &&
        worker.contactFailures == 0 &&
        worker.placements.isNotEmpty() &&
        worker.seenEnd == worker.recordedEnd &&
        worker.placements.values.none { it.needsImmediateReport }

    private fun maxWaitMillis(worker: FleetWorker, nowMillis: Long): Long {
        val usualMillis = usualWaitMillis(worker)
        val endMillis = fleet.pollsEndMillis ?: return usualMillis
        return (endMillis - nowMillis).coerceIn(0, usualMillis)
    }

    private fun usualWaitMillis(worker: FleetWorker): Long = when {
        worker.trial != null -> TRIAL_POLL_MILLIS
        worker.servingCount > 0 && worker.commitments.opportunisticMilliCpus > 0 ->
            SHARED_POLL_MILLIS

        else -> fleet.settings.pollWaitMillis
    }

    private companion object {
        /** Shorter than the 500 ms over which readings of shared workers are averaged. */
        const val SHARED_POLL_MILLIS = 400L

        /** Shorter than a trial, so that it ends soon. */
        const val TRIAL_POLL_MILLIS = 100L

        /** How long a poll of an unreachable worker takes to fail. */
        const val FAILED_POLL_MILLIS = 600L

        /** Soon after a lease may be granted again, the poll that does so has to be sent. */
        const val LEASELESS_POLL_MILLIS = 100L

        /** Time after which an unanswered stop is sent again. */
        const val STOP_RETRY_MILLIS = 600L

        /** Keeps leases valid while ends wait to be recorded, without polling in a tight loop. */
        const val UNRECORDED_POLL_MILLIS = 500L
    }
}
