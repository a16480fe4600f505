/** The interface of the systems that an experiment compares, and the direct baseline. */
package sycamoremast.bench.request

/** A system that takes requests for a fleet of backend servers. */
internal interface SystemUnderTest : AutoCloseable {
    /** The name of the system in result tables. */
    val name: String

    /** Returns the ports of the hosts to which the platform's balancer sends requests. */
    fun ports(): List<Int>

    /** The path prefix of the service's requests. */
    val pathPrefix: String
}

/** The baseline without entry hosts: requests go straight to the backend servers. */
internal class DirectBackends(private val fleet: BackendFleet) : SystemUnderTest {
    override val name = "direct"
    override val pathPrefix = ""

    override fun ports() = fleet.servers.map { it.port }

    override fun close() = Unit
}
