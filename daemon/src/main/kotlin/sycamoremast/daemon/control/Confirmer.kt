/** Asks the other hosts whether a configuration is in force on them. */
package sycamoremast.daemon.control

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.daemon.peer.InForce
import sycamoremast.daemon.peer.InForceQuery

internal class Confirmer(
    private val host: String,
    private val membership: MembershipView,
    private val peers: ControlPeers
) : AutoCloseable {
    private val pool = Executors.newCachedThreadPool { task ->
        Thread(task, "control-confirm").apply { isDaemon = true }
    }

    /** Returns on which hosts that are not gone [revision] of [team] is in force in time. */
    fun confirm(
        team: String,
        revision: Long,
        timeoutMillis: Long,
        inForceHere: () -> Long
    ): ConfirmationView {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
        val members = membership.members().filter { it.state != MemberState.GONE }
        val checks = members.map { member ->
            member.host to pool.submit(
                Callable {
                    waitUntil(end) { revisionAt(member.host, team, end, inForceHere) >= revision }
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
        endNanos: Long,
        inForceHere: () -> Long
    ): Long {
        if (member == host) return inForceHere()
        val left = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime())
        val timeout = left.coerceIn(1, ASK_MILLIS).milliseconds
        val answer = peers.network.ask(member, InForceQuery(team), timeout).getOrNull()
        return (answer as? InForce)?.revision ?: 0
    }

    private fun waitUntil(endNanos: Long, condition: () -> Boolean): Boolean {
        while (true) {
            if (condition()) return true
            if (System.nanoTime() >= endNanos) return false
            Thread.sleep(POLL_MILLIS)
        }
    }

    private companion object {
        const val ASK_MILLIS = 1_000L
        const val POLL_MILLIS = 50L
    }
}
