package sycamoremast.daemon.platform

import arrow.core.Either
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import sycamoremast.coordination.HostListError
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.standins.HostListFaults
import sycamoremast.standins.HostListServer

class HttpHostListTest {
    @Test
    fun `returns the hosts and names the peer when the list is down`() {
        HostListServer.start().use { server ->
            val address = "127.0.0.1:${server.port}"
            val hosts = listOf(
                ListedHost(
                    "w",
                    "127.0.0.1:1",
                    "gauja",
                    "r1",
                    HostRole.WORKER,
                    HostState.LEAVING,
                    capacity = Resources(1, 2, 3)
                )
            )
            server.setHosts(hosts)
            val list = HttpHostList.at(address, testClient())
            val read = list.hosts()
            expectThat(read).isEqualTo(Either.Right(hosts))
            expectThat(list.hosts().getOrNull() === read.getOrNull()).isTrue()
            server.setHosts(hosts + hosts[0].copy(name = "w2"))
            expectThat(list.hosts().map { it.size }).isEqualTo(Either.Right(2))
            server.setFaults(HostListFaults(down = true))
            expectThat(list.hosts()).isA<Either.Left<HostListError>>()
                .get { value.peer }.isEqualTo(address)
        }
    }
}
