/** Tests which backend servers get new requests. */
package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import sycamoremast.coordination.HostState

class BackendHealthTest {
    @Test
    fun `a server is leaving if the host list says so or lacks it`() {
        for (state in listOf(HostState.LEAVING, null)) {
            val health = BackendHealth().apply { updateListing(state) }
            expectThat(health.isLeaving(0)).isTrue()
        }
        expectThat(live().isLeaving(0)).isFalse()
    }

    @Test
    fun `a drain announcement overrides a lagging host list for a minute`() {
        val health = live().apply { markDraining(0) }
        health.updateListing(HostState.LIVE)
        expectThat(health.isLeaving(59_999)).isTrue()
        expectThat(health.isLeaving(60_000)).isFalse()
    }

    @Test
    fun `ejects a server after a connect failure, for longer each time`() {
        val health = live().apply { recordConnectFailure(0) }
        expectThat(health.ejectedSinceMillis(999)).isEqualTo(0)
        expectThat(health.ejectedSinceMillis(1_000)).isNull()
        health.recordConnectFailure(1_000)
        expectThat(health.ejectedSinceMillis(2_999)).isEqualTo(1_000)
        expectThat(health.ejectedSinceMillis(3_000)).isNull()
    }

    @Test
    fun `ejects a server that fails most requests but not one that fails few`() {
        val failing = live()
        repeat(6) { failing.recordFailure(it.toLong()) }
        expectThat(failing.ejectedSinceMillis(10)).isNotNull()
        val good = live()
        repeat(100) { if (it % 5 == 0) good.recordFailure(it.toLong()) else good.recordSuccess() }
        expectThat(good.ejectedSinceMillis(100)).isNull()
    }

    @Test
    fun `keeps at least half of the pool in use if all servers fail`() {
        val pool = List(5) { live() }
        pool.forEachIndexed { at, health -> repeat(5) { health.recordFailure(at.toLong()) } }
        val usable = BackendHealth.usable(pool, 10) { it }
        expectThat(usable).hasSize(3)
        expectThat(usable).isEqualTo(pool.take(3))
    }

    @Test
    fun `ejects all unreachable servers while another one is reachable`() {
        val pool = List(5) { live() }
        pool.take(4).forEach { it.recordConnectFailure(0) }
        expectThat(BackendHealth.usable(pool, 10) { it }).isEqualTo(pool.takeLast(1))
    }

    @Test
    fun `returns all servers if none is reachable`() {
        val pool = List(5) { live().apply { recordConnectFailure(0) } }
        expectThat(BackendHealth.usable(pool, 10) { it }).isEqualTo(pool)
    }

    @Test
    fun `does not count leaving servers towards the ejection limit`() {
        val pool = List(4) { live() }
        pool.take(3).forEach { it.markDraining(0) }
        repeat(5) { pool.last().recordFailure(0) }
        expectThat(BackendHealth.usable(pool, 10) { it }).isEqualTo(pool.takeLast(1))
    }

    private fun live() = BackendHealth().apply { updateListing(HostState.LIVE) }
}
