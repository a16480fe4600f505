/**
 * Orders the starts of placed tasks.
 *
 * A worker that has restarted unnoticed carries out a start with a lease by another clock than its
 * own, which lasts as long as the worker accepts. Where a successor waits for less, or counts from a
 * heartbeat that is older than usual, a start is sent only if the worker has just reported, and
 * waits for a report otherwise.
 */
package sycamoremast.coordination.workflow

internal class StartOrders(private val fleet: Fleet, private val crashes: CrashLedger) {
    private class AwaitingStart(val placement: Placement, val sinceMillis: Long)

    private val awaiting = ArrayList<AwaitingStart>()

    /** Orders the start of [placement] now or as soon as its worker has reported. */
    fun order(placement: Placement, nowMillis: Long) {
        val worker = placement.worker
        if (fleet.areStrayLeasesBounded(nowMillis) || worker.incarnation.isKnown(nowMillis)) {
            send(placement, nowMillis)
        } else {
            awaiting += AwaitingStart(placement, nowMillis)
            worker.hasAwaitingStarts = true
        }
    }

    /** Sends the starts whose workers have reported, and gives up those whose workers have not. */
    fun step(nowMillis: Long) {
        if (awaiting.isEmpty()) return
        val (settled, left) = awaiting.partition { settle(it, nowMillis) }
        if (settled.isEmpty()) return
        awaiting.clear()
        awaiting += left
        val waitingFor = left.mapTo(HashSet()) { it.placement.worker }
        settled.forEach {
            it.placement.worker.hasAwaitingStarts = it.placement.worker in waitingFor
        }
    }

    private fun settle(start: AwaitingStart, nowMillis: Long): Boolean {
        val placement = start.placement
        val worker = placement.worker
        when {
            placement.phase != PlacementPhase.STARTING -> Unit

            worker.contactFailures > 0 || !worker.isInRoster -> giveUp(placement, nowMillis)

            nowMillis > start.sinceMillis + StartHold.REPORT_AWAITED.boundMillis -> giveUp(
                placement,
                nowMillis
            )

            !worker.isIntroduced || !worker.incarnation.isKnown(nowMillis) -> return false

            fleet.leaseEndOrNull(worker, nowMillis) == null -> giveUp(placement, nowMillis)

            else -> send(placement, nowMillis)
        }
        return true
    }

    private fun giveUp(placement: Placement, nowMillis: Long) {
        fleet.log(
            "start-not-sent",
            placement.task.name.toString(),
            "run" to placement.run,
            "worker" to placement.worker.id,
            "sinceReportMillis" to placement.worker.incarnation.sinceReportMillisOrNull(nowMillis)
        )
        crashes.onNotStarted(placement)
        fleet.release(placement, nowMillis)
    }

    private fun send(placement: Placement, nowMillis: Long) {
        val task = placement.task
        val worker = placement.worker
        val workflow = task.step.workflow
        val leaseEnd = checkNotNull(fleet.leaseEndOrNull(worker, nowMillis)) {
            "no lease can be granted to a worker with a placement: ${worker.id}"
        }
        placement.sentMillis = nowMillis
        placement.mayBeStray = !worker.incarnation.isKnown(nowMillis)
        worker.lease.record(fleet.settings.lapsedBy(nowMillis))
        fleet.orderedStarts++
        fleet.log(
            "run-ordered",
            task.name.toString(),
            "run" to placement.run,
            "worker" to worker.id,
            "waitedMillis" to nowMillis - workflow.acceptedMillis,
            "sinceReportMillis" to worker.incarnation.sinceReportMillisOrNull(nowMillis),
            "firm" to worker.commitments.reservedMilliCpus,
            "idle" to worker.commitments.opportunisticMilliCpus
        )
        fleet.outbox += SchedulerAction.Start(
            StartOrder(
                worker.ref,
                worker.fencingToken,
                task.name,
                placement.run,
                workflow.spec.payload,
                task.checkpoint,
                leaseEnd
            )
        )
    }
}
