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
data class MemberTimes(
    val suspectAfter: Duration = 3.seconds,
    val goneAfter: Duration = 10.seconds,
    val forgetAfter: Duration = 10.minutes
)

/** The other hosts known to [selfHost]; safe to use from any thread. */
class MemberTable(private val selfHost: String, private val times: MemberTimes = MemberTimes()) {
    private val entries = sortedMapOf<String, Entry>()

    /** Returns all known hosts, by name. */
    @Synchronized
    fun members(): List<KnownMember> =
        entries.values.map { KnownMember(it.process, it.state, it.isRegistered) }

    /** Takes note of a message from [process]; returns false if it is an outdated incarnation. */
    @Synchronized
    fun heard(process: HostProcess, nowMillis: Long): Boolean {
        val entry = entryOf(process, nowMillis) ?: return false
        entry.heardAtMillis = nowMillis
        entry.move(MemberEvent.HEARD, nowMillis)
        return true
    }

    /** Takes note that [host] announced the end of its process [incarnation]. */
    @Synchronized
    fun left(host: String, incarnation: Long, nowMillis: Long) {
        val entry = entries[host]?.takeIf { it.process.incarnation == incarnation } ?: return
        entry.move(MemberEvent.LEFT, nowMillis)
    }

    /** Takes over all registrations as they stand in the key-value service. */
    @Synchronized
    fun registered(processes: List<HostProcess>, nowMillis: Long) {
        val byHost = processes.associateBy { it.host }
        for (process in processes) {
            val known = entries[process.host]
            val entry = entryOf(process, nowMillis) ?: continue
            if (known !== entry) entry.move(MemberEvent.REGISTERED, nowMillis)
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
            val silence = nowMillis - entry.heardAtMillis
            if (silence >= times.suspectAfter.inWholeMilliseconds) {
                entry.move(MemberEvent.SILENT, nowMillis)
            }
            if (silence >= times.goneAfter.inWholeMilliseconds && entry.isRegistered == false) {
                entry.move(MemberEvent.LAPSED, nowMillis)
            }
        }
        entries.values.removeIf { it.isForgotten(nowMillis) }
    }

    private fun Entry.isForgotten(nowMillis: Long) = state == MemberState.GONE &&
        nowMillis - changedAtMillis >= times.forgetAfter.inWholeMilliseconds

    /** Returns the entry of [process], renewed if it is a newer incarnation; null if outdated. */
    private fun entryOf(process: HostProcess, nowMillis: Long): Entry? {
        if (process.host == selfHost) return null
        val known = entries[process.host]
        val incarnation = known?.process?.incarnation ?: Long.MIN_VALUE
        return when {
            process.incarnation < incarnation -> null

            process.incarnation == incarnation -> known

            else -> Entry(process, nowMillis).also { entries[process.host] = it }
        }
    }

    private class Entry(val process: HostProcess, var heardAtMillis: Long) {
        var state = CHART.initial
        var isRegistered: Boolean? = null
        var changedAtMillis = heardAtMillis

        fun move(event: MemberEvent, nowMillis: Long) {
            val next = CHART.nextOrNull(state, event) ?: return
            state = next
            changedAtMillis = nowMillis
        }
    }

    internal companion object {
        val CHART =
            StateChart.fromResource("member.scxml", MemberState::class, MemberEvent::class)
    }
}
