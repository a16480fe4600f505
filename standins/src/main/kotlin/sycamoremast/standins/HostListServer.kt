/**
 * A stand-in for the platform's list of hosts, which shows each change after a lag.
 *
 * `PUT /hosts` replaces the list; `GET /hosts` returns it as it was one lag earlier. `POST /faults`
 * replaces the active faults.
 */
package sycamoremast.standins

import kotlinx.serialization.Serializable
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.MonotonicClock

/** The injected faults: [down] closes connections, [slowMillis] delays each call. */
@Serializable
data class HostListFaults(val down: Boolean = false, val slowMillis: Long = 0)

/** A running host list. */
class HostListServer private constructor(port: Int, private val lagMillis: Long, address: String) :
    AutoCloseable {
    private val clock = MonotonicClock.system()
    private val versions = ArrayDeque<Version>()

    @Volatile
    private var faults = HostListFaults()

    private val server = StandInServer("host-list", port, address = address, handle = ::handle)

    private class Version(val atMillis: Long, val hosts: List<ListedHost>)

    /** The port that the server listens on. */
    val port: Int get() = server.port

    /** Replaces the active faults with [faults]. */
    fun setFaults(faults: HostListFaults) {
        this.faults = faults
    }

    /** Replaces the list with [hosts] after the lag; the first list is visible at once. */
    @Synchronized
    fun setHosts(hosts: List<ListedHost>) {
        versions += Version(clock.nowMillis(), hosts)
    }

    /** Returns the list that `GET /hosts` returns now. */
    @Synchronized
    fun visible(): List<ListedHost> {
        val visibleMillis = clock.nowMillis() - lagMillis
        while (versions.size > 1 && versions[1].atMillis <= visibleMillis) versions.removeFirst()
        return versions.firstOrNull()?.hosts.orEmpty()
    }

    override fun close() = server.close()

    private fun handle(call: Call) {
        when (call.path) {
            "/faults" -> {
                if (call.method == "POST") setFaults(call.read())
                call.respond(faults)
            }
            "/hosts" -> serve(call)
            else -> call.respond(RefusalBody("no such path: ${call.path}"), Call.STATUS_NOT_FOUND)
        }
    }

    private fun serve(call: Call) {
        if (call.method == "PUT") {
            setHosts(call.read())
            return call.respond(visible())
        }
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (faults.down) return call.abort()
        call.respond(visible())
    }

    companion object {
        /** Starts a host list that shows each change [lagMillis] after it was made. */
        fun start(port: Int = 0, lagMillis: Long = 0, address: String = LOOPBACK): HostListServer =
            HostListServer(port, lagMillis, address)
    }
}
