/**
 * A stand-in for the platform's list of hosts, which lags behind the truth.
 *
 * `PUT /hosts` replaces the truth; `GET /hosts` returns it as it stood some time ago. `POST /faults`
 * replaces the faults in force.
 */
package sycamoremast.standins

import kotlinx.serialization.Serializable
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.MonotonicClock

/** The faults of the host list: [down] closes connections, [slowMillis] delays each call. */
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

    /** The port that the list listens on. */
    val port: Int get() = server.port

    /** Puts [faults] in force in place of the earlier ones. */
    fun setFaults(faults: HostListFaults) {
        this.faults = faults
    }

    /** Replaces the truth by [hosts]; the first list shows without a lag. */
    @Synchronized
    fun setHosts(hosts: List<ListedHost>) {
        versions += Version(clock.nowMillis(), hosts)
    }

    /** Returns the list as it shows now. */
    @Synchronized
    fun shown(): List<ListedHost> {
        val latest = clock.nowMillis() - lagMillis
        while (versions.size > 1 && versions[1].atMillis <= latest) versions.removeFirst()
        return versions.firstOrNull()?.hosts.orEmpty()
    }

    override fun close() = server.close()

    private fun handle(call: Call) {
        when (call.path) {
            "/faults" -> {
                if (call.method == "POST") setFaults(call.read())
                call.answer(faults)
            }
            "/hosts" -> serve(call)
            else -> call.answer(RefusalBody("no such path: ${call.path}"), Call.STATUS_NOT_FOUND)
        }
    }

    private fun serve(call: Call) {
        if (call.method == "PUT") {
            setHosts(call.read())
            return call.answer(shown())
        }
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (faults.down) return call.abort()
        call.answer(shown())
    }

    companion object {
        /** Returns a list that shows each change [lagMillis] after it was made. */
        fun start(port: Int = 0, lagMillis: Long = 0, address: String = LOOPBACK): HostListServer =
            HostListServer(port, lagMillis, address)
    }
}
