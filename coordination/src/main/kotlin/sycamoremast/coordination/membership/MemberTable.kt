/**
 * The entry hosts as one of them sees the others.
 *
 * The table combines two sources: messages between the hosts, and the registrations under leases in
 * the key-value service. Neither decides alone. Silence makes a host suspect; only silence together
 * with a lapsed registration makes it gone, and while the service can't be read no registration is
 * known to have lapsed.
 */
package sycamoremast.coordination.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.statechart.StateChart

/** An entry host's process, as it registers and introduces itself. */
data class HostProcess(
    val host: String,
    val availabilityZone: String,
    val address: String,
    val incarnation: Long
)

/** A known host, its [state], and whether it [isRegistered], where that is known. */
data class KnownMember(val process: HostProcess, val state: MemberState, val isRegistered: Boolean?)

/** When a silent host is suspect, gone, and no longer listed. */
data class MemberTimeouts(
    val suspectAfter: Duration = 3.seconds,
    val goneAfter: Duration = 10.seconds,
    val removeAfter: Duration = 10.minutes
)

/** The other hosts known to [selfHost]; safe to use from any thread. */
class MemberTable(
    private val selfHost: String,
    private val timeouts: MemberTimeouts = MemberTimeouts()
) {
    private val entries = sortedMapOf<String, Entry>()

    /** Returns all known hosts, by name. */
    @Synchronized
    fun members(): List<KnownMember> =
        entries.values.map { KnownMember(it.process, it.state, it.isRegistered) }

    /** Takes note of a message from [process]; returns false if it is an outdated incarnation. */
    @Synchronized
    fun recordMessage(process: HostProcess, nowMillis: Long): Boolean {
        val entry = findOrReplaceEntry(process, nowMillis) ?: return false
        entry.lastMessageMillis = nowMillis
        entry.handle(MemberEvent.MESSAGE_RECEIVED, nowMillis)
        return true
    }

    /** Takes note that [host] announced the end of its process [incarnation]. */
    @Synchronized
    fun recordDeparture(host: String, incarnation: Long, nowMillis: Long) {
        val entry = entries[host]?.takeIf { it.process.incarnation == incarnation } ?: return
        entry.handle(MemberEvent.LEFT, nowMillis)
    }

    /** Takes over all registrations as they stand in the key-value service. */
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

    /** Applies the passing of time. */
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

    /** Returns the entry of [process], renewed if it is a newer incarnation; null if outdated. */
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
