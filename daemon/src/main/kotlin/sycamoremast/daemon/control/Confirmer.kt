/** Asks the other hosts whether a configuration is in force on them. */
package sycamoremast.daemon.control

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.daemon.peer.InForceQuery
import sycamoremast.daemon.peer.InForceRevision

/** Polls the members in parallel until each has the revision in force or the timeout expires. */
internal class Confirmer(
    private val host: String,
    private val membership: MembershipView,
    private val peers: ControlPeers
) : AutoCloseable {
    private val pool = Executors.newCachedThreadPool { task ->
        Thread(task, "control-confirm").apply { isDaemon = true }
    }

    /**
     * Returns the hosts on which at least [revision] of [team] is in force within [timeoutMillis],
     * and those on which it is not; hosts that are gone are not asked.
     */
    fun confirm(
        team: String,
        revision: Long,
        timeoutMillis: Long,
        inForceHere: () -> Long
    ): ConfirmationView {
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
        val members = membership.members().filter { it.state != MemberState.GONE }
        val checks = members.map { member ->
            member.host to pool.submit(
                Callable {
                    pollUntil(deadlineNanos) {
                        revisionAt(member.host, team, deadlineNanos, inForceHere) >= revision
                    }
                }
            )
        }
        val (inForce, others) = checks.partition { it.second.get() }
        return ConfirmationView(
            team,
            revision,
            inForce.map { it.first },
            others.map { it.first }
        )
    }

    override fun close() {
        pool.shutdownNow()
    }

    private fun revisionAt(
        member: String,
        team: String,
        deadlineNanos: Long,
        inForceHere: () -> Long
    ): Long {
        if (member == host) return inForceHere()
        val remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime())
        val timeout = remaining.coerceIn(1, QUERY_TIMEOUT_MILLIS).milliseconds
        val answer = peers.network.ask(member, InForceQuery(team), timeout).getOrNull()
        return (answer as? InForceRevision)?.revision ?: 0
    }

    private fun pollUntil(deadlineNanos: Long, condition: () -> Boolean): Boolean {
        while (true) {
            if (condition()) return true
            if (System.nanoTime() >= deadlineNanos) return false
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val QUERY_TIMEOUT_MILLIS = 1_000L
        const val POLL_INTERVAL_MILLIS = 50L
    }
}
