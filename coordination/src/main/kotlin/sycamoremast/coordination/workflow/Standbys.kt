/**
 * The hosts that may succeed the owner, and which of its heartbeats they know of.
 *
 * In an outage of the store no heartbeat becomes durable. The owner then announces heartbeats to all
 * standbys itself. One that all of them have acknowledged allows the owner to go on granting leases:
 * whichever of them takes over counts from the last heartbeat that it acknowledged.
 *
 * A host that isn't named in the last roster asks the standbys ([InheritedLeases]). If none answers
 * it waits longer, by [SchedulerSettings.LONGEST_ANNOUNCED_MILLIS], for which the owner may go on.
 */
package sycamoremast.coordination.workflow

internal class Standbys(private val fleet: Fleet) {
    private class Announcement(val number: Long, val formedMillis: Long)

    private var ownHost: String? = null

    /** The hosts by the time at which they were last registered. */
    private val lastRegistered = HashMap<String, Long>()
    private var registered = emptySet<String>()

    /** The standbys in the last durable roster, and those in one that may be durable. */
    private var recorded = emptySet<String>()
    private var inRecord: Set<String>? = null

    /** The number of the last heartbeat that each host has acknowledged. */
    private val acknowledged = HashMap<String, Long>()
    private val announcements = ArrayDeque<Announcement>()
    private var lastNumber = 0L
    private var lastAnnouncedMillis = Long.MIN_VALUE / 2
    private var durableMillis = Long.MIN_VALUE / 2
    private var areSilent = false

    /** When the last heartbeat was formed that all standbys have acknowledged, or null. */
    var confirmedMillis: Long? = null
        private set

    /** The hosts to record as standbys, none if this host is not registered. */
    private val current: Set<String>
        get() = if (ownHost in lastRegistered) lastRegistered.keys.toSet() else emptySet()

    /** Whether the roster has to be recorded anew. */
    val isRecordDue: Boolean get() = fleet.isRosterDurable && current != (inRecord ?: recorded)

    /** Updates the registered [hosts], of which [own] is this one. */
    fun onRegistered(own: String, hosts: Set<String>, nowMillis: Long) {
        ownHost = own
        registered = hosts
        hosts.forEach { lastRegistered[it] = nowMillis }
    }

    /** Records that earlier owners have named [hosts] as standbys. */
    fun onInherited(hosts: Set<String>, nowMillis: Long) =
        hosts.forEach { lastRegistered[it] = nowMillis }

    /** Records that a roster is formed now; returns the standbys that it names. */
    fun onRosterFormed(): Set<String> = current.also { inRecord = it }

    /** Records that the last roster formed is durable. */
    fun onRosterDurable() {
        recorded = inRecord.orEmpty()
        inRecord = null
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
        forgetHosts(nowMillis)
        val isAwaited = ownHost in recorded &&
            inRecord?.contains(ownHost) != false &&
            nowMillis >= durableMillis + ANNOUNCE_AFTER_MILLIS &&
            nowMillis < durableMillis + SchedulerSettings.LONGEST_ANNOUNCED_MILLIS
        val dueMillis = lastAnnouncedMillis + SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS
        if (!isAwaited || nowMillis < dueMillis) return
        if (announcements.isNotEmpty()) logSilent(nowMillis)
        lastAnnouncedMillis = nowMillis
        fleet.onHeartbeatFormed(nowMillis)
        announcements += Announcement(++lastNumber, nowMillis)
        if (announcements.size > MAX_ANNOUNCEMENTS) announcements.removeFirst()
        fleet.outbox += SchedulerAction.Announce(
            fleet.epoch,
            lastNumber,
            others()
        )
    }

    /**
     * Forgets hosts whose entries have been gone for longer than entries are missing after an
     * outage.
     */
    private fun forgetHosts(nowMillis: Long) {
        registered.forEach { lastRegistered[it] = nowMillis }
        lastRegistered.values.removeAll { nowMillis > it + UNREGISTERED_MILLIS }
    }

    /**
     * Returns all hosts that a successor may find named as standbys, this one included, which may
     * succeed itself.
     */
    private fun needed(): Set<String> = recorded + inRecord.orEmpty() + lastRegistered.keys

    private fun others(): Set<String> = needed() - setOfNotNull(ownHost)

    /** Records that [host] has acknowledged the heartbeat with [number]. */
    fun onAcknowledged(host: String, number: Long, nowMillis: Long) {
        acknowledged.merge(host, number, ::maxOf)
        confirm(nowMillis)
    }

    private fun confirm(nowMillis: Long) {
        val number = needed().minOf { acknowledged[it] ?: 0 }
        val confirmed = announcements.lastOrNull { it.number <= number } ?: return
        while (announcements.first() !== confirmed) announcements.removeFirst()
        announcements.removeFirst()
        if (confirmedMillis == null || areSilent) {
            fleet.log(
                "standbys-confirm",
                "epoch-${fleet.epoch}",
                "hosts" to others().size,
                "durableMillisAgo" to nowMillis - durableMillis,
                "tookMillis" to nowMillis - confirmed.formedMillis
            )
        }
        areSilent = false
        confirmedMillis = confirmed.formedMillis
        fleet.onHeartbeatKnown(confirmed.formedMillis, isDurable = false)
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
            "heartbeatMillisAgo" to nowMillis - known
        )
    }

    private companion object {
        /** Two heartbeats that should be durable by now; a single one is late now and then. */
        const val ANNOUNCE_AFTER_MILLIS = 2 * SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS

        /** Entries of hosts that live are back in much less. */
        const val UNREGISTERED_MILLIS = 5_000L

        /** Leases become shorter after that. */
        const val SILENT_MILLIS = 3_000L

        /** Far more than are on their way at a time. */
        const val MAX_ANNOUNCEMENTS = 32
        const val MAX_NAMED = 4
    }
}
