/**
 * The processes that may succeed the owner, and which of its heartbeats they know of.
 *
 * In an outage of the store no heartbeat becomes durable. The owner then announces heartbeats to all
 * standbys itself. One that all of them have acknowledged allows the owner to go on granting leases:
 * whichever of them takes over counts from the last heartbeat that it acknowledged. A standby that
 * has ended can't take over, so its acknowledgement isn't awaited.
 *
 * Such a heartbeat also needs a quorum of the workers ([AcceptingWorkers]), which bounds it where
 * no standby is left.
 *
 * A process that isn't named in the last roster asks the standbys ([InheritedLeases]), also if an
 * earlier one of its host is named. If none answers, and too few workers do, it waits longer, by
 * [SchedulerSettings.LONGEST_ANNOUNCED_MILLIS], for which the owner may go on.
 */
package sycamoremast.coordination.workflow

internal class Standbys(private val fleet: Fleet) {
    private class Announcement(val number: Long, val formedMillis: Long)

    private var own: HostProcess? = null

    /** The standbys by the time at which they were last registered. */
    private val lastRegistered = HashMap<HostProcess, Long>()
    private var registered = emptySet<HostProcess>()

    /** The standbys in the last durable roster, and those in one that may be durable. */
    private var recorded = emptySet<HostProcess>()
    private var inRecord: Set<HostProcess>? = null

    /** The number of the last heartbeat announced before each standby was known. */
    private val knownSince = HashMap<HostProcess, Long>()

    /** The standbys that can't succeed this owner any more, as they have ended. */
    private val ended = HashSet<HostProcess>()

    /** The number of the last heartbeat that each standby has acknowledged. */
    private val acknowledged = HashMap<HostProcess, Long>()
    private val announcements = ArrayDeque<Announcement>()
    private val liftedLimits = LiftedLimits(fleet)
    private val acceptingWorkers = AcceptingWorkers(fleet)

    /** The number of the last announcement that recorded lifted limits, by standby. */
    private val limitsKnown = HashMap<HostProcess, Long>()

    /** The number of the last heartbeat announced. */
    var lastNumber = 0L
        private set
    private var lastAnnouncedMillis = Long.MIN_VALUE / 2
    private var durableMillis = Long.MIN_VALUE / 2
    private var areSilent = false

    /** When the last durable heartbeat was formed, or null. */
    val lastDurableMillis: Long? get() = durableMillis.takeIf { it != Long.MIN_VALUE / 2 }

    /** When the last heartbeat was formed that all standbys have acknowledged, or null. */
    var confirmedMillis: Long? = null
        private set

    /** The processes to record as standbys, none if this one is not registered. */
    private val current: Set<HostProcess>
        get() = if (own in lastRegistered) lastRegistered.keys.toSet() else emptySet()

    /** Whether the roster has to be recorded anew. */
    val isRecordDue: Boolean get() = fleet.isRosterDurable && current != (inRecord ?: recorded)

    /** Updates the [processes] of the registered hosts, of which [own] is this one. */
    fun onRegistered(own: HostProcess, processes: Set<HostProcess>, nowMillis: Long) {
        this.own = own
        ended.retainAll { it in processes || it in recorded || it in inRecord.orEmpty() }
        registered = processes - ended
        registered.forEach { note(it, nowMillis) }
    }

    /** Records that earlier owners have named [processes] as standbys. */
    fun onInherited(processes: Set<HostProcess>, nowMillis: Long) =
        processes.forEach { note(it, nowMillis) }

    private fun note(process: HostProcess, nowMillis: Long) {
        lastRegistered[process] = nowMillis
        knownSince.putIfAbsent(process, lastNumber)
    }

    /**
     * Records that a roster of [workers] is formed now, which limits the leases of the [limited] ones;
     * returns the standbys that it names.
     */
    fun onRosterFormed(workers: Set<WorkerRef>, limited: Set<String>): Set<HostProcess> {
        liftedLimits.onRosterFormed(limited)
        acceptingWorkers.onRosterFormed(workers)
        return current.also { inRecord = it }
    }

    /** Records that the last roster formed is durable. */
    fun onRosterDurable() {
        recorded = inRecord.orEmpty()
        inRecord = null
        acceptingWorkers.onRosterDurable()
    }

    /**
     * Records that [process] has ended and knew of no owner after that of [lastEpoch].
     *
     * If it knows of a later one, it may have answered that one, which then relies on the missing
     * acknowledgement.
     */
    fun onEnded(process: HostProcess, lastEpoch: Long) {
        val isAwaited = process in needed() && process != own && lastEpoch <= fleet.epoch
        fleet.log(
            "standby-ended",
            "epoch-${fleet.epoch}",
            "process" to process,
            "lastEpoch" to lastEpoch,
            "isAwaited" to isAwaited
        )
        if (isAwaited) forget(setOf(process))
    }

    private fun forget(processes: Set<HostProcess>) {
        ended += processes
        registered -= processes
        lastRegistered -= processes
    }

    /** Records that a heartbeat is durable which was formed at [formedMillis]. */
    fun onHeartbeatDurable(formedMillis: Long) {
        durableMillis = formedMillis
        announcements.clear()
        if (areSilent) fleet.log("standbys-not-needed", "epoch-${fleet.epoch}")
        areSilent = false
    }

    /** Announces a heartbeat if none has been durable for a while. */
    fun step(nowMillis: Long) {
        forgetUnregistered(nowMillis)
        confirm(nowMillis)
        announceIfDue(nowMillis)
        fleet.pollsEndMillis = pollsEndMillisOrNull(nowMillis)
    }

    private fun announceIfDue(nowMillis: Long) {
        val mayAnnounce = own in recorded &&
            inRecord?.contains(own) != false &&
            nowMillis >= durableMillis + ANNOUNCE_AFTER_MILLIS &&
            nowMillis < durableMillis + SchedulerSettings.LONGEST_ANNOUNCED_MILLIS
        val dueMillis = lastAnnouncedMillis + SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS
        if (!mayAnnounce || nowMillis < dueMillis) return
        if (announcements.isNotEmpty()) logSilent(nowMillis)
        lastAnnouncedMillis = nowMillis
        fleet.onHeartbeatFormed(nowMillis)
        acceptingWorkers.requestReports()
        announcements += Announcement(++lastNumber, nowMillis)
        if (announcements.size > MAX_ANNOUNCEMENTS) announcements.removeFirst()
        fleet.outbox += SchedulerAction.Announce(
            fleet.epoch,
            lastNumber,
            others(),
            liftedLimits.namesFor(lastNumber, nowMillis)
        )
    }

    /**
     * Returns when polls that are sent now should end, or null if that doesn't matter.
     *
     * Only a poll that is sent after a heartbeat was announced shows that its worker accepts it, and
     * one that waits for an end of a run holds back the next, and its own answer. So they end as a
     * heartbeat is announced, and once more soon after that, for it to count; and sooner until a first
     * one counts.
     */
    private fun pollsEndMillisOrNull(nowMillis: Long): Long? {
        if (!mayAnnounceSoon(nowMillis)) return null
        val nextMillis = POLL_MARGIN_MILLIS + maxOf(
            lastAnnouncedMillis + SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS,
            durableMillis + ANNOUNCE_AFTER_MILLIS
        )
        // No heartbeat is announced any more some time after the last durable one.
        if (nextMillis <= nowMillis) return null
        val isFirst = (confirmedMillis ?: durableMillis) <= durableMillis
        if (isFirst) return minOf(nextMillis, nowMillis + FIRST_POLL_MILLIS)
        val answerMillis = lastAnnouncedMillis + CONFIRMING_POLL_MILLIS
        val isLastCounted = announcements.lastOrNull()?.formedMillis != lastAnnouncedMillis
        return if (isLastCounted || nowMillis >= answerMillis) nextMillis else answerMillis
    }

    /** Whether no heartbeat has been durable for so long that some may have to be announced soon. */
    private fun mayAnnounceSoon(nowMillis: Long): Boolean {
        val durable = lastDurableMillis ?: return false
        return own in recorded && nowMillis >= durable + HURRY_AFTER_MILLIS
    }

    /**
     * Forgets processes whose entries have been gone for longer than entries are missing after an
     * outage.
     */
    private fun forgetUnregistered(nowMillis: Long) {
        registered.forEach { lastRegistered[it] = nowMillis }
        lastRegistered.values.removeAll { nowMillis > it + UNREGISTERED_MILLIS }
        knownSince.keys.retainAll(lastRegistered.keys + recorded + inRecord.orEmpty())
    }

    /**
     * Returns all processes that a successor may find named as standbys and that have not ended,
     * this one included, which may succeed itself.
     */
    private fun needed(): Set<HostProcess> =
        recorded + inRecord.orEmpty() + lastRegistered.keys - ended

    private fun others(): Set<HostProcess> = needed() - setOfNotNull(own)

    /**
     * Records that [process] has acknowledged the heartbeat with [number], and whether it
     * [recordsLimits] that this one lifts.
     *
     * Other processes of its host that were known before that heartbeat have ended. None of them has
     * succeeded this owner, as [process] has read since its start that it is the last one. Processes
     * without an ID can't be told apart, so a later one may bear the same name.
     */
    fun onAcknowledged(
        process: HostProcess,
        number: Long,
        recordsLimits: Boolean,
        nowMillis: Long
    ) {
        if (process in ended) return
        forget(
            needed().filterTo(HashSet()) {
                it.host == process.host &&
                    it != process &&
                    it.id.isNotEmpty() &&
                    knownSince.getValue(it) < number
            }
        )
        acknowledged.merge(process, number, ::maxOf)
        if (recordsLimits) limitsKnown.merge(process, number, ::maxOf)
        confirm(nowMillis)
    }

    private fun confirm(nowMillis: Long) {
        if (announcements.isEmpty()) return
        val number = needed().minOfOrNull { acknowledged[it] ?: 0 } ?: return
        val accepted = acceptingWorkers.acceptedMillisOrNull() ?: return
        val confirmed = announcements.lastOrNull {
            it.number <= number && it.formedMillis <= accepted
        } ?: return
        while (announcements.first() !== confirmed) announcements.removeFirst()
        announcements.removeFirst()
        if (confirmedMillis == null || areSilent) {
            fleet.log(
                "standbys-confirm",
                "epoch-${fleet.epoch}",
                "hosts" to others().size,
                "ended" to ended.size,
                "durableMillisAgo" to nowMillis - durableMillis,
                "tookMillis" to nowMillis - confirmed.formedMillis
            )
        }
        areSilent = false
        confirmedMillis = confirmed.formedMillis
        fleet.onHeartbeatKnown(confirmed.formedMillis, isDurable = false)
        val limitsKnownTo = needed().minOf { limitsKnown[it] ?: 0 }
        liftedLimits.onKnown(minOf(limitsKnownTo, confirmed.number))
    }

    private fun logSilent(nowMillis: Long) {
        val known = maxOf(durableMillis, confirmedMillis ?: durableMillis)
        if (areSilent || nowMillis < known + SILENT_MILLIS) return
        areSilent = true
        val missing = others().filter { (acknowledged[it] ?: 0) < announcements.first().number }
        fleet.log(
            "standbys-silent",
            "epoch-${fleet.epoch}",
            "hosts" to missing.size,
            "first" to missing.take(MAX_NAMED).joinToString(","),
            "needed" to others().size,
            "ended" to ended.size,
            "workersMillisAgo" to acceptingWorkers.acceptedMillisOrNull()?.let { nowMillis - it },
            "heartbeatMillisAgo" to nowMillis - known
        )
    }

    private companion object {
        /** Two heartbeats that should be durable by now; a single one is late now and then. */
        const val ANNOUNCE_AFTER_MILLIS = 2 * SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS

        /** Lets a poll end after the heartbeat that it is timed by, which is formed in a step. */
        const val POLL_MARGIN_MILLIS = 30L

        /** A small part of the interval of heartbeats, at the cost of 5 polls a second. */
        const val FIRST_POLL_MILLIS = 200L

        /** A quarter of the interval of heartbeats, at the cost of a second poll in each. */
        const val CONFIRMING_POLL_MILLIS = 150L

        /** One heartbeat is late, and polls that wait since then end soon after the first announced. */
        const val HURRY_AFTER_MILLIS = 900L

        /** Entries of hosts that live are back in much less. */
        const val UNREGISTERED_MILLIS = 5_000L

        /** Leases become shorter after that. */
        const val SILENT_MILLIS = 3_000L

        /** Far more than are on their way at a time. */
        const val MAX_ANNOUNCEMENTS = 32
        const val MAX_NAMED = 4
    }
}
