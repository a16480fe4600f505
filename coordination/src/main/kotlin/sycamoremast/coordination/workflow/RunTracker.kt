/** Updates the state of runs and workers from the answers of workers. */
package sycamoremast.coordination.workflow

internal class RunTracker(
    private val fleet: Fleet,
    private val recorder: Recorder,
    private val colocation: ColocationController,
    private val crashes: CrashLedger
) {
    private val ends = RunEnds(fleet, recorder, crashes)
    private val runs = ReportedRuns(fleet, recorder, crashes)

    /** Logs what is due. */
    fun step(nowMillis: Long) = ends.step(nowMillis)

    fun onStartAnswer(order: StartOrder, answer: WorkerAnswer, nowMillis: Long) {
        val placement = findPlacementOrNull(order.task, order.worker, order.run) ?: return
        when (answer) {
            is WorkerAnswer.Done -> {
                if (mayBeStray(placement, nowMillis)) suspectStrayLease(placement, nowMillis)
                answer.clockMillis?.let {
                    placement.worker.recordContact()
                    placement.recordSeen(it)
                }
                placement.transition(PlacementEvent.SEEN, nowMillis)
                recorder.markBegun(placement.task.step.workflow)
            }

            is WorkerAnswer.Rejected -> onStartRejected(placement, order, answer.reason, nowMillis)

            is WorkerAnswer.Unknown -> {
                fleet.log(
                    "start-unanswered",
                    order.task.toString(),
                    "run" to order.run,
                    "worker" to order.worker.id,
                    "reason" to answer.reason
                )
                suspectStrayLease(placement, nowMillis)
                placement.transition(PlacementEvent.ANSWER_LOST, nowMillis)
                placement.worker.forgetIncarnation()
                placement.worker.nextPollMillis = nowMillis
            }

            is WorkerAnswer.Reported -> Unit
        }
    }

    /** Whether a start that was answered now may have been carried out after a restart. */
    private fun mayBeStray(placement: Placement, nowMillis: Long): Boolean = placement.mayBeStray ||
        nowMillis > placement.sentMillis + WorkerIncarnation.PROOF_MILLIS

    /** Records the lease that a start grants if the worker had restarted unnoticed. */
    private fun suspectStrayLease(placement: Placement, nowMillis: Long) = placement.worker.lease
        .suspectStray(fleet.settings.strayLapsedBy(nowMillis), nowMillis)

    private fun onStartRejected(
        placement: Placement,
        order: StartOrder,
        reason: RejectReason,
        nowMillis: Long
    ) {
        val worker = placement.worker
        val task = placement.task
        fleet.log(
            "start-rejected",
            task.name.toString(),
            "run" to placement.run,
            "worker" to worker.id,
            "reason" to reason
        )
        crashes.onNotStarted(placement)
        when (reason) {
            RejectReason.STALE_TOKEN -> fleet.onTokenRejected(worker.ref, order.fencingToken)
            RejectReason.OTHER_INCARNATION -> return markLost(
                worker,
                nowMillis,
                "other incarnation"
            )
            RejectReason.STALE_RUN -> task.lastRun += RUN_SKIP
            RejectReason.NOT_SENT -> {
                worker.recordContactFailure()
                crashes.onCallFailed(worker, tookMillis = 0, nowMillis)
            }

            RejectReason.CONGESTED -> task.notBeforeMillis = nowMillis + CONGESTION_PAUSE_MILLIS
            RejectReason.LATE -> worker.nextPollMillis = nowMillis
            else -> worker.bars.set(
                StartHold.START_REJECTED,
                nowMillis + StartHold.START_REJECTED.boundMillis
            )
        }
        if (reason == RejectReason.MALFORMED) {
            task.notBeforeMillis = nowMillis + StartHold.PAUSED.boundMillis
        }
        fleet.release(placement, nowMillis)
    }

    fun onStopAnswer(order: StopOrder, answer: WorkerAnswer, nowMillis: Long) {
        val placement = findPlacementOrNull(order.task, order.worker, order.run) ?: return
        when (answer) {
            is WorkerAnswer.Done -> {
                placement.transition(PlacementEvent.STOP_ANSWERED, nowMillis)
                placement.worker.nextPollMillis = nowMillis
            }

            is WorkerAnswer.Rejected -> when (answer.reason) {
                RejectReason.STALE_TOKEN -> fleet.onTokenRejected(order.worker, order.fencingToken)

                RejectReason.OTHER_INCARNATION ->
                    markLost(placement.worker, nowMillis, "other incarnation")

                RejectReason.STALE_RUN -> {
                    placement.transition(PlacementEvent.STOP_ANSWERED, nowMillis)
                    placement.worker.nextPollMillis = nowMillis
                }

                else -> Unit
            }

            is WorkerAnswer.Unknown -> placement.worker.forgetIncarnation()

            is WorkerAnswer.Reported -> Unit
        }
    }

    fun onPollAnswer(order: PollOrder, answer: WorkerAnswer, nowMillis: Long) {
        val worker = fleet.workers[order.worker.id]?.takeIf { it.ref == order.worker } ?: return
        if (order.waitMillis == 0L && order.sentMillis == worker.introductionSentMillis) {
            worker.introductionSentMillis = null
        } else {
            worker.isPolling = false
        }
        when (answer) {
            is WorkerAnswer.Reported -> onReport(worker, order, answer.report, nowMillis)

            is WorkerAnswer.Rejected -> when (answer.reason) {
                RejectReason.STALE_TOKEN -> {
                    fleet.onTokenRejected(worker.ref, order.fencingToken)
                    worker.nextPollMillis = nowMillis + REPOLL_BACKOFF_MILLIS
                }

                RejectReason.OTHER_INCARNATION -> markLost(worker, nowMillis, "other incarnation")
                else -> {
                    val isUnanswered = answer.reason == RejectReason.NOT_SENT
                    onPollFailed(worker, order, "${answer.reason}", isUnanswered, nowMillis)
                }
            }

            is WorkerAnswer.Unknown ->
                onPollFailed(worker, order, answer.reason, isUnanswered = true, nowMillis)

            is WorkerAnswer.Done -> Unit
        }
    }

    private fun onPollFailed(
        worker: FleetWorker,
        order: PollOrder,
        reason: String,
        isUnanswered: Boolean,
        nowMillis: Long
    ) {
        if (worker.contactFailures == 0) {
            // Another incarnation may answer the next poll.
            if (worker.isIntroduced) fleet.fencingTokens.fenceEarlierOrders(worker)
            fleet.log(
                "worker-unreachable",
                worker.id,
                "reason" to reason,
                "runs" to worker.placements.size,
                "lapsedBy" to worker.lease.lapsedByMillis
            )
        }
        val isNew = worker.recordPollFailure(order.sentMillis, nowMillis)
        if (isNew && isUnanswered) {
            val tookMillis = nowMillis - order.sentMillis - order.waitMillis
            crashes.onCallFailed(worker, tookMillis, nowMillis)
        }
        val pause = REPOLL_BACKOFF_MILLIS * minOf(worker.contactFailures, MAX_BACKOFF_STEPS)
        worker.nextPollMillis = nowMillis + pause
    }

    private fun onReport(
        worker: FleetWorker,
        order: PollOrder,
        report: WorkerReport,
        nowMillis: Long
    ) {
        val isOutdated = order.fencingToken < worker.fencingToken
        if (isOutdated && worker.incarnation.isOther(report.startedUnixMillis)) {
            return logOutdated(worker, report)
        }
        if (worker.contactFailures > 0) {
            fleet.log("worker-reachable", worker.id, "failures" to worker.contactFailures)
        }
        if (worker.incarnation.updateStart(report.startedUnixMillis)) {
            onRestarted(worker, report, nowMillis)
        } else {
            crashes.onAnswered(worker)
        }
        val isFirst = !worker.hasReported
        val wasIntroduced = worker.isIntroduced
        worker.lease.clearSuspicion(order.sentMillis)
        worker.incarnation.recordToken(order.fencingToken)
        worker.recordReport(order.sentMillis, nowMillis)
        worker.recordAnswer(report.clockMillis, report.receivedMillis)
        if (!worker.isReconciled || worker.contactFailures == 0) fleet.isPlacementDue = true
        if (!worker.isReconciled) reconcile(worker, report, isFirst, nowMillis)
        if (worker.isIntroduced && !wasIntroduced) onIntroduced(worker, nowMillis)
        worker.nextPollMillis = nowMillis
        val previousEnd = worker.seenEnd
        report.ended.filter { it.number > previousEnd }.sortedBy { it.number }.forEach {
            worker.seenEnd = it.number
            ends.onEnded(worker, it, nowMillis)
            recorder.trackEnd(worker, it.number, fleet.workflows[it.task.workflow])
        }
        runs.onReport(worker, report, order.sentMillis, nowMillis)
        colocation.onReport(worker, nowMillis)
    }

    /** Takes [worker] for reconciled once a report shows all its ends, perhaps not the first. */
    private fun reconcile(
        worker: FleetWorker,
        report: WorkerReport,
        isFirst: Boolean,
        nowMillis: Long
    ) {
        if (isFirst) onFenced(worker, nowMillis)
        if (!report.mayOmitEnds) {
            worker.isReconciled = true
        } else if (isFirst) {
            fleet.log("ends-awaited", worker.id, "ends" to report.ended.size)
        }
    }

    private fun onRestarted(worker: FleetWorker, report: WorkerReport, nowMillis: Long) {
        // Runs ordered since then may be running in the new incarnation; the rows below tell.
        logRestarted(worker, report, nowMillis)
        recorder.dropPendingEnds(worker)
        // Orders that may start runs or grant leases are sent to introduced incarnations only.
        if (worker.isIntroduced) fleet.fencingTokens.fenceEarlierOrders(worker)
        worker.resetAfterRestart()
        worker.isIntroductionDue = true
        if (!fleet.settings.doHeartbeatsBoundStrayLeases) {
            worker.isRestartUnrecorded = true
            worker.isInRoster = false
        }
        worker.lease.recordStray(fleet.settings.strayLapsedBy(nowMillis))
        // An idle worker would not be told the token before the next start.
        worker.isReportDue = true
        worker.placements.values.filter { !it.wasSeen }.forEach { it.awaitReport(nowMillis) }
        crashes.onRestarted(worker, nowMillis)
    }

    /** Asks [worker] for its incarnation, as its entry is one of a later incarnation. */
    fun onRestartListed(worker: FleetWorker, listing: WorkerListing, nowMillis: Long) {
        fleet.log(
            "worker-restart-listed",
            worker.id,
            "startedUnixMillis" to listing.startedUnixMillis,
            "current" to worker.incarnation.startedUnixMillis,
            "runs" to worker.placements.size
        )
        worker.forgetIncarnation()
        worker.nextPollMillis = nowMillis
    }

    /** Bounds the leases of earlier owners, which [worker] rejects from its first answer on. */
    private fun onFenced(worker: FleetWorker, nowMillis: Long) {
        val settings = fleet.settings
        when {
            !worker.lease.isRecorded -> Unit
            worker.incarnation.isInherited -> worker.lease.recordFenced(
                settings.lapsedBy(nowMillis)
            )
            else -> worker.lease.recordStrayFenced(settings.strayLapsedBy(nowMillis))
        }
    }

    /**
     * Records the longest lease that stray orders may have granted to the new incarnation of [worker],
     * which rejects them from now on. The next owner has to know of it before anything starts here.
     */
    private fun onIntroduced(worker: FleetWorker, nowMillis: Long) {
        // A roster that was formed while the incarnation was in doubt doesn't tell of it.
        if (!worker.isIntroductionDue && !worker.isRestartUnrecorded) return
        worker.isIntroductionDue = false
        worker.lease.recordStray(fleet.settings.strayLapsedBy(nowMillis))
        if (worker.isRestartUnrecorded) recorder.markRosterChanged()
        fleet.log(
            "worker-introduced",
            worker.id,
            "startedUnixMillis" to worker.incarnation.startedUnixMillis,
            "token" to worker.fencingToken,
            "leaseLeftMillis" to worker.lease.remainingMillis(nowMillis),
            "isRosterDue" to worker.isRestartUnrecorded
        )
    }

    private fun logOutdated(worker: FleetWorker, report: WorkerReport) = fleet.log(
        "report-outdated",
        worker.id,
        "startedUnixMillis" to report.startedUnixMillis,
        "current" to worker.incarnation.startedUnixMillis
    )

    /** Logs what was on its way to the earlier incarnation and may have reached this one. */
    private fun logRestarted(worker: FleetWorker, report: WorkerReport, nowMillis: Long) {
        val running = report.running.mapTo(HashSet()) { it.task to it.run }
        fleet.log(
            "worker-restarted",
            worker.id,
            "runs" to worker.placements.size,
            "startedUnixMillis" to report.startedUnixMillis,
            "clockMillis" to report.clockMillis,
            "startsInFlight" to worker.placements.values.count { !it.wasSeen },
            "runsHere" to worker.placements.values.count { (it.task.name to it.run) in running },
            "sinceReportMillis" to worker.incarnation.sinceReportMillisOrNull(nowMillis),
            "leaseLeftMillis" to worker.lease.remainingMillis(nowMillis)
        )
    }

    /** Removes [worker], on which nothing runs any more, and releases its placements. */
    fun markLost(worker: FleetWorker, nowMillis: Long, reason: String, hasEnded: Boolean = true) {
        crashes.onLost(worker, hasEnded, nowMillis)
        worker.isLost = true
        worker.isReconciled = true
        fleet.remove(worker)
        recorder.dropPendingEnds(worker)
        recorder.markRosterChanged()
        releaseAll(worker, nowMillis, reason)
    }

    /** Releases the placements on [worker], whose lease has lapsed, which ended all its runs. */
    fun releaseLapsed(worker: FleetWorker, nowMillis: Long) {
        crashes.onLost(worker, hasEnded = false, nowMillis)
        fleet.fencingTokens.fenceEarlierOrders(worker)
        releaseAll(worker, nowMillis, "lease lapsed")
    }

    private fun releaseAll(worker: FleetWorker, nowMillis: Long, reason: String) {
        fleet.log("worker-lost", worker.id, "reason" to reason, "runs" to worker.placements.size)
        for (placement in worker.placements.values.toList()) {
            fleet.release(placement, nowMillis)
            recorder.markChanged(placement.task.step.workflow)
        }
        fleet.isPlacementDue = true
    }

    private fun findPlacementOrNull(name: TaskName, worker: WorkerRef, run: Int): Placement? =
        fleet.workers[worker.id]?.takeIf { it.ref == worker }
            ?.placements?.get(name)?.takeIf { it.run == run }

    private companion object {
        /** Skips run numbers that earlier orders may have used on a worker. */
        const val RUN_SKIP = 10

        /** Gives the orders in flight time to be answered. */
        const val CONGESTION_PAUSE_MILLIS = 200L

        /**
         * Pause before an unreachable worker is polled again, multiplied by its contact failures.
         */
        const val REPOLL_BACKOFF_MILLIS = 150L
        const val MAX_BACKOFF_STEPS = 4
    }
}
