/**
 * The leases that earlier owners may have granted to workers which this owner doesn't reach.
 *
 * A process that the last roster doesn't name as a standby can't tell how long the last owner went on
 * with its standbys' acknowledgements. It asks them when they last gave one, and the last owner's
 * host when that owner ended. A single answer is enough, as a heartbeat counted only if all standbys
 * that had not ended themselves had acknowledged it.
 *
 * Without any answer, a bound comes from the workers: those that have answered this owner reject the
 * last one, which can't extend leases by a later heartbeat once no quorum is left for it.
 */
package sycamoremast.coordination.workflow

internal class InheritedLeases(private val fleet: Fleet) {
    private class Inheritance(
        val roster: RosterRecord,
        val sightings: StoreSightings,
        val lastHeartbeat: RecordVersion?
    ) {
        /** The workers that have answered this owner, also those that were lost later. */
        val fenced = HashSet<WorkerRef>()
        var isFenced = false

        /** Whether a host has answered, so that none is asked any more; later answers count too. */
        var isAnswered = false
    }

    /** What answers would tell more about, or null. */
    private var inheritance: Inheritance? = null
    private var nextAskMillis = Long.MIN_VALUE
    private var askedCount = 0

    /** Adds the workers that [roster] names, of which this host knows by [sightings]. */
    fun add(
        roster: RosterRecord,
        sightings: StoreSightings,
        lastHeartbeat: RecordVersion?,
        directory: WorkerDirectory
    ) {
        for (worker in roster.workers) {
            val lapsedBy =
                roster.lapsedByMillis(worker, sightings, fleet.settings, lastHeartbeat)
            directory.addRosteredWorker(worker, lapsedBy)
        }
        if (!roster.isInformed(sightings)) {
            inheritance = Inheritance(roster, sightings, lastHeartbeat)
            fleet.isLastOwnerUnknown = true
        }
    }

    /** Asks the standbys until one has answered or no worker is missing. */
    fun step(nowMillis: Long) {
        val inherited = inheritance ?: return
        if (fleet.isFleetReconciled()) {
            inheritance = null
            fleet.isLastOwnerUnknown = false
            return
        }
        noteFenced(inherited, nowMillis)
        if (nowMillis < nextAskMillis || inherited.isAnswered) return
        nextAskMillis = nowMillis + ASK_INTERVAL_MILLIS
        val roster = inherited.roster
        if (++askedCount == LOGGED_QUESTION) logUnanswered(roster, nowMillis)
        fleet.outbox += SchedulerAction.AskStandbys(
            fleet.epoch,
            roster.epoch,
            roster.standbys,
            roster.host
        )
    }

    private fun logUnanswered(roster: RosterRecord, nowMillis: Long) = fleet.log(
        "last-owner-unknown",
        "epoch-${fleet.epoch}",
        "lastEpoch" to roster.epoch,
        "lastOwner" to roster.host,
        "standbys" to roster.standbys.size,
        "unanswered" to askedCount - 1,
        "workers" to fleet.workers.values.count { it.lease.isInherited },
        "leaseLeftMillis" to longestLeftMillis(nowMillis)
    )

    /** Limits inherited leases once so many workers have answered that the last owner is fenced. */
    private fun noteFenced(inherited: Inheritance, nowMillis: Long) {
        if (inherited.isFenced) return
        val roster = inherited.roster
        roster.workers.filterTo(inherited.fenced) { ref ->
            fleet.workers[ref.id]?.let { it.ref == ref && it.lease.isClockKnown } ?: false
        }
        if (!roster.isFencedBy(inherited.fenced)) return
        inherited.isFenced = true
        fleet.isLastOwnerUnknown = false
        limit(inherited, inherited.sightings.copy(fenced = mapOf(roster.epoch to nowMillis)))
        fleet.log(
            "last-owner-fenced",
            "epoch-${fleet.epoch}",
            "lastEpoch" to roster.epoch,
            "workers" to inherited.fenced.size,
            "ofWorkers" to roster.workers.size,
            "leaseLeftMillis" to longestLeftMillis(nowMillis)
        )
    }

    /** Limits the leases of workers that have not answered by what [sightings] tell. */
    private fun limit(inherited: Inheritance, sightings: StoreSightings) {
        val roster = inherited.roster
        for (ref in roster.workers) {
            // Also at another address, the worker has inherited no other lease than this one.
            val worker = fleet.workers[ref.id] ?: continue
            if (!worker.lease.isInherited) continue
            val lapsedBy =
                roster.lapsedByMillis(ref, sightings, fleet.settings, inherited.lastHeartbeat)
            worker.lease.limitInherited(lapsedBy)
        }
    }

    private fun longestLeftMillis(nowMillis: Long): Long? =
        fleet.workers.values.filter { it.lease.isInherited }
            .maxOfOrNull { it.lease.remainingMillis(nowMillis) }

    /**
     * Records the answer of [process] about the owner of [epoch], of which it acknowledges no heartbeat
     * any more.
     */
    fun onAnswered(process: HostProcess, epoch: Long, report: StandbyReport, nowMillis: Long) {
        val inherited = inheritance?.takeIf { it.roster.epoch == epoch } ?: return
        if (!isInformed(process, report, inherited.roster)) return
        inherited.isAnswered = true
        fleet.isLastOwnerUnknown = false
        limit(inherited, seenByHost(inherited, report, nowMillis))
        fleet.log(
            "standby-answered",
            "epoch-${fleet.epoch}",
            "process" to process,
            "acknowledgedMillisAgo" to report.millisAgo,
            "isOwnerEnd" to report.isOwnerEnd,
            "liftedLimits" to report.liftedLimits?.size,
            "heartbeatMillisAgo" to report.lastHeartbeat?.millisAgo,
            "leaseLeftMillis" to longestLeftMillis(nowMillis)
        )
    }

    /**
     * Whether [process] is named in [roster] or tells that its owner had ended. A name without an ID
     * stands for all processes of its host.
     */
    private fun isInformed(process: HostProcess, report: StandbyReport, roster: RosterRecord) =
        process in roster.standbys ||
            HostProcess(process.host) in roster.standbys ||
            (report.isOwnerEnd && process.host == roster.host)

    /** Returns what this host would have seen as the one that has sent [report]. */
    private fun seenByHost(
        inherited: Inheritance,
        report: StandbyReport,
        nowMillis: Long
    ): StoreSightings {
        val roster = inherited.roster
        val lastMillis = nowMillis - sureMillis(report.millisAgo)
        val lifted = report.liftedLimits
            ?: roster.leasesLeft.orEmpty().mapValues { Long.MAX_VALUE }
        val own = inherited.sightings
        val seen = report.lastHeartbeat
        val heartbeats = if (seen == null) {
            own.heartbeats
        } else {
            val seenMillis = nowMillis - sureMillis(seen.millisAgo)
            own.heartbeats + (seen.version to minOf(seenMillis, own.heartbeatMillis(seen.version)))
        }
        return own.copy(
            process = roster.standbys.first(),
            heartbeats = heartbeats,
            acknowledged = mapOf(roster.epoch to lastMillis),
            ends = if (report.isOwnerEnd) own.ends + (roster.epoch to lastMillis) else own.ends,
            liftedLimits = mapOf(roster.epoch to lifted)
        )
    }

    /** Returns how long [millis] of another host's clock are on this one's at least. */
    private fun sureMillis(millis: Long): Long =
        millis - 2 * SchedulerSettings.maxClockError(millis)

    private companion object {
        const val ASK_INTERVAL_MILLIS = 600L

        /** The first answers should have arrived before it. */
        const val LOGGED_QUESTION = 3
    }
}
