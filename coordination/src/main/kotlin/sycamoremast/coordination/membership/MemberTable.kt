/**
 * The state of the other entry hosts, as one of them sees it.
 *
 * The table combines two sources: messages between the hosts, and the registrations under leases in
 * the key-value service. Neither is decisive alone. Silence makes a host suspect; only silence
 * together with a lapsed registration makes it gone. While the service can't be read, no
 * registration counts as lapsed.
 */
package sycamoremast.coordination.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.statechart.StateChart

/** The process of an entry host, as it registers and introduces itself to peers. */
data class HostProcess(
    val host: String,
    val availabilityZone: String,
    val address: String,
    val incarnation: Long
)

/** A known host and its [state]; [isRegistered] is null while that is unknown. */
data class KnownMember(val process: HostProcess, val state: MemberState, val isRegistered: Boolean?)

/** The times after which a silent host is suspect and gone, and a gone host is removed. */
data class MemberTimeouts(
    val suspectAfter: Duration = 3.seconds,
    val goneAfter: Duration = 10.seconds,
    val removeAfter: Duration = 10.minutes
)

/** The other hosts known to [selfHost]; thread-safe. */
class MemberTable(
    private val selfHost: String,
    private val timeouts: MemberTimeouts = MemberTimeouts()
) {
    private val entries = sortedMapOf<String, Entry>()

    /** Returns all known hosts, by name. */
    @Synchronized
    fun members(): List<KnownMember> =
        entries.values.map { KnownMember(it.process, it.state, it.isRegistered) }

    /** Records a message from [process]; returns false if its incarnation is outdated. */
    @Synchronized
    fun recordMessage(process: HostProcess, nowMillis: Long): Boolean {
        val entry = findOrReplaceEntry(process, nowMillis) ?: return false
        entry.lastMessageMillis = nowMillis
        entry.handle(MemberEvent.MESSAGE_RECEIVED, nowMillis)
        return true
    }

    /** Records that the process [incarnation] of [host] announced its departure. */
    @Synchronized
    fun recordDeparture(host: String, incarnation: Long, nowMillis: Long) {
        val entry = entries[host]?.takeIf { it.process.incarnation == incarnation } ?: return
        entry.handle(MemberEvent.LEFT, nowMillis)
    }

    /** Replaces all known registrations by [processes], as listed in the key-value service. */
    @Synchronized
    fun recordListing(processes: List<HostProcess>, nowMillis: Long) {
        val byHost = processes.associateBy { it.host }
        for (process in processes) {
            val known = entries[process.host]
            val entry = findOrReplaceEntry(process, nowMillis) ?: continue
            if (known !== entry) entry.handle(MemberEvent.REGISTERED, nowMillis)
        }
        for (entry in entries.values) {
            entry.isRegistered =
                entry.process.incarnation == byHost[entry.process.host]?.incarnation
        }
    }

    /** Applies all timeouts that have passed at [nowMillis]. */
    @Synchronized
    fun tick(nowMillis: Long) {
        for (entry in entries.values) {
            val silence = nowMillis - entry.lastMessageMillis
            if (silence >= timeouts.suspectAfter.inWholeMilliseconds) {
                entry.handle(MemberEvent.SILENT, nowMillis)
            }
            if (silence >= timeouts.goneAfter.inWholeMilliseconds && entry.isRegistered == false) {
                entry.handle(MemberEvent.REGISTRATION_LAPSED, nowMillis)
            }
        }
        entries.values.removeIf { it.isRemovable(nowMillis) }
    }

    private fun Entry.isRemovable(nowMillis: Long) = state == MemberState.GONE &&
        nowMillis - stateSinceMillis >= timeouts.removeAfter.inWholeMilliseconds

    /** Returns the entry of [process], a new one for a newer incarnation; null if outdated. */
    private fun findOrReplaceEntry(process: HostProcess, nowMillis: Long): Entry? {
        if (process.host == selfHost) return null
        val known = entries[process.host]
        val incarnation = known?.process?.incarnation ?: Long.MIN_VALUE
        return when {
            process.incarnation < incarnation -> null

            process.incarnation == incarnation -> known

            else -> Entry(process, nowMillis).also { entries[process.host] = it }
        }
    }

    private class Entry(val process: HostProcess, var lastMessageMillis: Long) {
        var state = CHART.initial
        var isRegistered: Boolean? = null
        var stateSinceMillis = lastMessageMillis

        fun handle(event: MemberEvent, nowMillis: Long) {
            val next = CHART.nextOrNull(state, event) ?: return
            state = next
            stateSinceMillis = nowMillis
        }
    }

    internal companion object {
        val CHART =
            StateChart.fromResource("member.scxml", MemberState::class, MemberEvent::class)
    }
}
