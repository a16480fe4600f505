/** Tells why a worker takes no starts, whatever the task. Suspicions are told by its bars. */
package sycamoremast.coordination.workflow

/** A shorter lease would lapse before the poll that extends it. */
private const val SHORTEST_FIRST_LEASE_MILLIS = 1_000L

/** Returns why [worker] takes no start now, or null; suspicions are not considered. */
internal fun Fleet.holdOrNull(worker: FleetWorker, nowMillis: Long): StartHold? =
    worker.presenceHoldOrNull() ?: worker.knowledgeHoldOrNull() ?: when {
        worker.trial != null -> StartHold.ON_TRIAL

        worker.bars.isBarred(StartHold.START_REJECTED, nowMillis) -> StartHold.START_REJECTED

        worker.lease.longestMillis(nowMillis, leaseHorizon) < SHORTEST_FIRST_LEASE_MILLIS ->
            StartHold.LEASE_TOO_SHORT

        else -> null
    }

/** Returns why a start can't be carried out on the worker, or null. */
private fun FleetWorker.presenceHoldOrNull(): StartHold? = when {
    !isListed -> StartHold.UNLISTED
    listing.isDraining -> StartHold.DRAINING
    isLost -> StartHold.WORKER_LOST
    contactFailures > 0 -> StartHold.UNREACHABLE
    else -> null
}

/** Returns what has to be known of the worker before a start, or null. */
private fun FleetWorker.knowledgeHoldOrNull(): StartHold? = when {
    !isReconciled -> StartHold.UNREPORTED
    !isInRoster -> StartHold.NOT_IN_ROSTER
    !lease.isClockKnown -> StartHold.CLOCK_UNKNOWN
    !isIntroduced -> StartHold.NOT_INTRODUCED
    incarnation.isInDoubt -> StartHold.INCARNATION_IN_DOUBT
    isListingOutdated -> StartHold.LISTING_OUTDATED
    unknownRuns.isNotEmpty() -> StartHold.UNKNOWN_RUNS
    else -> null
}

/** Returns when [hold] ends on the worker, if it is a bar or a lease that lapses, or null. */
internal fun FleetWorker.holdEndMillisOrNull(hold: StartHold): Long? = when (hold) {
    StartHold.UNREACHABLE, StartHold.UNREPORTED -> lease.lapsedByMillisOrNull
    else -> bars.endMillisOrNull(hold)
}
