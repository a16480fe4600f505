/** How the concurrency of a backend server follows its speed. */
package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class ConcurrencyLimitTest {
    @Test
    fun `a server as fast as expected gets its whole share`() {
        val limit = ConcurrencyLimit()
        repeat(100) { limit.ran(10.0, 10.0, 1.0, it.toDouble(), inUse = 8) }
        expectThat(limit.allowed(share = 8, nowMillis = 100.0)).isEqualTo(8)
    }

    @Test
    fun `a server that is slower than its peers gets less, with pauses in the end`() {
        val limit = ConcurrencyLimit()
        val allowed = (1..2_000).map {
            limit.ran(100.0, 10.0, 1.0, it.toDouble(), inUse = 8)
            limit.allowed(share = 8, nowMillis = it.toDouble())
        }
        expectThat(allowed.first()).isEqualTo(8)
        expectThat(allowed.last()).isEqualTo(0)
        expectThat(limit.allowed(share = 8, nowMillis = 1e9)).isEqualTo(1)
        expectThat(limit.slowness).isGreaterThan(9.0)
    }

    @Test
    fun `a server that turns slow keeps one request at a time after a few answers`() {
        val limit = ConcurrencyLimit()
        repeat(500) { limit.ran(10.0, 10.0, 1.0, it.toDouble(), inUse = 5) }
        repeat(20) { limit.ran(100.0, 10.0, 1.0, 500.0, inUse = 8) }
        expectThat(limit.allowed(share = 8, nowMillis = 1e9)).isEqualTo(1)
    }

    @Test
    fun `one slow answer takes nothing from a busy server`() {
        val limit = ConcurrencyLimit()
        repeat(500) { limit.ran(10.0, 10.0, 1.0, it.toDouble(), inUse = 5) }
        limit.ran(100.0, 10.0, 1.0, 500.0, inUse = 5)
        expectThat(limit.allowed(share = 8, nowMillis = 500.0)).isEqualTo(8)
    }

    @Test
    fun `a server recovers its share once it is fast again`() {
        val limit = ConcurrencyLimit()
        repeat(2_000) { limit.ran(100.0, 10.0, 1.0, it.toDouble(), inUse = 8) }
        repeat(200) { limit.ran(10.0, 10.0, 1.0, it.toDouble(), inUse = 8) }
        expectThat(limit.allowed(share = 8, nowMillis = 1e9)).isEqualTo(8)
    }

    @Test
    fun `slowness that all servers share takes nothing from one of them`() {
        val limit = ConcurrencyLimit()
        repeat(1_000) { limit.ran(100.0, 10.0, 10.0, it.toDouble(), inUse = 8) }
        expectThat(limit.allowed(share = 8, nowMillis = 1_000.0)).isEqualTo(8)
        expectThat(limit.slowness).isLessThan(10.1)
    }
}
