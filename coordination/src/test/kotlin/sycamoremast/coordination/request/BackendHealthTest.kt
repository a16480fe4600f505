/** Which backend servers get new work. */
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
    fun `a server that is leaving by the list gets no work`() {
        for (state in listOf(HostState.LEAVING, null)) {
            val health = BackendHealth().apply { listed(state) }
            expectThat(health.isLeaving(0)).isTrue()
        }
        expectThat(live().isLeaving(0)).isFalse()
    }

    @Test
    fun `a server's own word outlasts a list that lags`() {
        val health = live().apply { draining(0) }
        health.listed(HostState.LIVE)
        expectThat(health.isLeaving(59_999)).isTrue()
        expectThat(health.isLeaving(60_000)).isFalse()
    }

    @Test
    fun `a failed connect leaves a server out at once, for longer each time`() {
        val health = live().apply { connectFailed(0) }
        expectThat(health.leftOutSince(999)).isEqualTo(0)
        expectThat(health.leftOutSince(1_000)).isNull()
        health.connectFailed(1_000)
        expectThat(health.leftOutSince(2_999)).isEqualTo(1_000)
        expectThat(health.leftOutSince(3_000)).isNull()
    }

    @Test
    fun `a server that fails most requests is left out, one that fails few is not`() {
        val bad = live()
        repeat(6) { bad.failed(it.toLong()) }
        expectThat(bad.leftOutSince(10)).isNotNull()
        val fair = live()
        repeat(100) { if (it % 5 == 0) fair.failed(it.toLong()) else fair.answered() }
        expectThat(fair.leftOutSince(100)).isNull()
    }

    @Test
    fun `failures of all servers leave at least half of the pool in use`() {
        val pool = List(5) { live() }
        pool.forEachIndexed { at, health -> repeat(5) { health.failed(at.toLong()) } }
        val usable = BackendHealth.usable(pool, 10) { it }
        expectThat(usable).hasSize(3)
        expectThat(usable).isEqualTo(pool.take(3))
    }

    @Test
    fun `servers that can't be reached are all left out while another can be`() {
        val pool = List(5) { live() }
        pool.take(4).forEach { it.connectFailed(0) }
        expectThat(BackendHealth.usable(pool, 10) { it }).isEqualTo(pool.takeLast(1))
    }

    @Test
    fun `all are tried if none can be reached`() {
        val pool = List(5) { live().apply { connectFailed(0) } }
        expectThat(BackendHealth.usable(pool, 10) { it }).isEqualTo(pool)
    }

    @Test
    fun `servers that are leaving do not count for the cap`() {
        val pool = List(4) { live() }
        pool.take(3).forEach { it.draining(0) }
        repeat(5) { pool.last().failed(0) }
        expectThat(BackendHealth.usable(pool, 10) { it }).isEqualTo(pool.takeLast(1))
    }

    private fun live() = BackendHealth().apply { listed(HostState.LIVE) }
}
