/** The entry hosts under test, and what they are compared with. */
package sycamoremast.bench.request

/** Entry hosts that pass requests on to a fleet of backend servers. */
internal interface EntrySystem : AutoCloseable {
    /** The name of the system in tables. */
    val name: String

    /** The ports of the hosts that the platform's balancer sends requests to. */
    fun ports(): List<Int>

    /** The path below which the service's requests are taken. */
    val pathPrefix: String
}

/** The backend servers themselves, without any entry host. */
internal class DirectEntry(private val fleet: BackendFleet) : EntrySystem {
    override val name = "direct"
    override val pathPrefix = ""

    override fun ports() = fleet.servers.map { it.port }

    override fun close() = Unit
}
