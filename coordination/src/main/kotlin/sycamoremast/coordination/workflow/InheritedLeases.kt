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
 *
 * All of this also holds for owners before the last one, if that one recorded that it didn't know how
 * long they went on ([UnknownOwner]).
 */
package sycamoremast.coordination.workflow

internal class InheritedLeases(private val fleet: Fleet) {
    /** An owner of which this host can't tell how long it went on, and its [roster]. */
    private class EarlierOwner(val roster: RosterRecord) {
        /** The workers that have answered this owner, also those that were lost later. */
        val fenced = HashSet<WorkerRef>()
        var isFenced = false

        /** Whether a host has answered, so that none is asked any more; later answers count too. */
        var isAnswered = false
        val isUnknown: Boolean get() = !isFenced && !isAnswered

        /** Adds what was last learned of the owner to what this host has seen. */
        var inform: (StoreSightings) -> StoreSightings = { it }
    }

    private class Inheritance(
        val roster: RosterRecord,
        val sightings: StoreSightings,
        val lastHeartbeat: RecordVersion?,
        val owners: List<EarlierOwner>
    )

    /** What answers would tell more about, or null. */
    private var inheritance: Inheritance? = null
    private var nextAskMillis = Long.MIN_VALUE
    private var askedCount = 0

    /** Adds the workers that [roster] names, of which this host knows by [sightings]. */
    fun add(
        roster: RosterRecord,
        sightings: StoreSightings,
        lastHeartbeat: RecordVersion?,
        directory: WorkerDirectory,
        nowMillis: Long
    ) {
        for (worker in roster.workers) {
            val lapsedBy =
                roster.lapsedByMillis(worker, sightings, fleet.settings, lastHeartbeat)
            val added = directory.addRosteredWorker(worker, lapsedBy)
            val started = roster.incarnations?.get(worker.id)
            directory.onIncarnationInherited(added, started, nowMillis)
            roster.strayLapsedByMillisOrNull(worker, sightings)?.let(added.lease::recordStray)
        }
        val owners = generateSequence(roster) { it.unknown?.roster }
            .filterNot { it.isInformed(sightings) }.map(::EarlierOwner).toList()
        if (owners.isEmpty()) return
        inheritance = Inheritance(roster, sightings, lastHeartbeat, owners)
        updateUnknown()
    }

    private fun updateUnknown() {
        val inherited = inheritance
        val latest = inherited?.owners?.find { it.isUnknown }?.roster
        fleet.isLastOwnerUnknown = latest != null && latest === inherited.roster
        fleet.unknownOwner = latest
            ?.let { UnknownOwner(it, unreachedSince(it, inherited.roster)) }
            ?.limitedTo()
    }

    /** Returns the workers that no owner after that of [earlier] has reached, up to that of [last]. */
    private fun unreachedSince(earlier: RosterRecord, last: RosterRecord): Set<String> {
        val later = generateSequence(last) { it.unknown?.roster }.takeWhile { it !== earlier }
        return later.mapNotNull { it.unknown?.unreached }
            .fold(last.workers.mapTo(HashSet()) { it.id }) { ids, unreached ->
                ids.apply { retainAll(unreached) }
            }
    }

    /** Asks the standbys until one has answered or no worker is missing. */
    fun step(nowMillis: Long) {
        val inherited = inheritance ?: return
        if (fleet.isFleetReconciled()) {
            inheritance = null
            return updateUnknown()
        }
        inherited.owners.forEach { noteFenced(inherited, it, nowMillis) }
        if (nowMillis < nextAskMillis) return
        val unanswered = inherited.owners.filter { !it.isAnswered }
        if (unanswered.isEmpty()) return
        nextAskMillis = nowMillis + ASK_INTERVAL_MILLIS
        // The connections are those for the last question.
        val roster = unanswered[askedCount % unanswered.size].roster
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

    /** Limits inherited leases once so many workers have answered that [owner] is fenced. */
    private fun noteFenced(inherited: Inheritance, owner: EarlierOwner, nowMillis: Long) {
        if (owner.isFenced) return
        val roster = owner.roster
        roster.workers.filterTo(owner.fenced) { ref ->
            fleet.workers[ref.id]?.let { it.ref == ref && it.lease.isClockKnown } ?: false
        }
        if (!roster.isFencedBy(owner.fenced)) return
        owner.isFenced = true
        learn(inherited, owner) { it.copy(fenced = it.fenced + (roster.epoch to nowMillis)) }
        fleet.log(
            "last-owner-fenced",
            "epoch-${fleet.epoch}",
            "lastEpoch" to roster.epoch,
            "workers" to owner.fenced.size,
            "ofWorkers" to roster.workers.size,
            "leaseLeftMillis" to longestLeftMillis(nowMillis)
        )
    }

    /**
     * Limits the leases of workers that have not answered, as [inform] adds what is learned of [owner]
     * to what is known of the others.
     */
    private fun learn(
        inherited: Inheritance,
        owner: EarlierOwner,
        inform: (StoreSightings) -> StoreSightings
    ) {
        val known = inherited.owners.filter { it !== owner }
            .fold(inherited.sightings) { sightings, other -> other.inform(sightings) }
        owner.inform = inform
        val sightings = inform(known)
        val roster = inherited.roster
        for (ref in roster.workers) {
            // Also at another address, the worker has inherited no other lease than this one.
            val worker = fleet.workers[ref.id] ?: continue
            if (!worker.lease.isInherited) continue
            val lapsedBy =
                roster.lapsedByMillis(ref, sightings, fleet.settings, inherited.lastHeartbeat)
            worker.lease.limitInherited(lapsedBy)
        }
        updateUnknown()
    }

    private fun longestLeftMillis(nowMillis: Long): Long? =
        fleet.workers.values.filter { it.lease.isInherited }
            .maxOfOrNull { it.lease.remainingMillis(nowMillis) }

    /**
     * Records the answer of [process] about the owner of [epoch], of which it acknowledges no heartbeat
     * any more.
     */
    fun onAnswered(process: HostProcess, epoch: Long, report: StandbyReport, nowMillis: Long) {
        val inherited = inheritance ?: return
        val owner = inherited.owners.find { it.roster.epoch == epoch } ?: return
        if (!isInformed(process, report, owner.roster)) return
        if (!owner.isAnswered) nextAskMillis = nowMillis
        owner.isAnswered = true
        learn(inherited, owner) { withReport(it, owner.roster, report, nowMillis) }
        fleet.log(
            "standby-answered",
            "epoch-${fleet.epoch}",
            "lastEpoch" to epoch,
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

    /** Returns [own] sightings and what a host has told in [report] of the owner of [roster]. */
    private fun withReport(
        own: StoreSightings,
        roster: RosterRecord,
        report: StandbyReport,
        nowMillis: Long
    ): StoreSightings {
        val lastMillis = nowMillis - sureMillis(report.millisAgo)
        val lifted = report.liftedLimits
            ?: roster.leasesLeft.orEmpty().mapValues { Long.MAX_VALUE }
        val seen = report.lastHeartbeat
        val heartbeats = if (seen == null) {
            own.heartbeats
        } else {
            val seenMillis = nowMillis - sureMillis(seen.millisAgo)
            own.heartbeats + (seen.version to minOf(seenMillis, own.heartbeatMillis(seen.version)))
        }
        val end = roster.epoch to lastMillis
        return own.copy(
            informed = own.informed + roster.epoch,
            heartbeats = heartbeats,
            acknowledged = own.acknowledged + end,
            ends = if (report.isOwnerEnd) own.ends + end else own.ends,
            liftedLimits = own.liftedLimits + (roster.epoch to lifted)
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
