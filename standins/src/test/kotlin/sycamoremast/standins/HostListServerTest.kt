package sycamoremast.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost

class HostListServerTest {
    @Test
    fun `shows a change only after the lag`() {
        HostListServer.start(lagMillis = 400).use { server ->
            val host = ListedHost("h", "127.0.0.1:1", "z", "r", HostRole.WORKER, HostState.LIVE)
            server.setHosts(listOf(host))
            server.setHosts(listOf(host.copy(state = HostState.LEAVING)))
            expectThat(server.visible().single().state).isEqualTo(HostState.LIVE)
            eventually("the change shows") { server.visible().single().state == HostState.LEAVING }
            expectThat(Http(server.port).get("/hosts").body()).contains("LEAVING")
        }
    }
}
