/** Tests how the concurrency limit of a backend server follows its speed. */
package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class ConcurrencyLimitTest {
    @Test
    fun `allows the whole share on a server that is as fast as expected`() {
        val limit = ConcurrencyLimit()
        repeat(100) { limit.recordRun(10.0, 10.0, 1.0, it.toDouble(), inUse = 8) }
        expectThat(limit.allowedSlots(share = 8, nowMillis = 100.0)).isEqualTo(8)
    }

    @Test
    fun `reduces the limit of a slow server, finally to single requests with pauses`() {
        val limit = ConcurrencyLimit()
        val allowed = (1..2_000).map {
            limit.recordRun(100.0, 10.0, 1.0, it.toDouble(), inUse = 8)
            limit.allowedSlots(share = 8, nowMillis = it.toDouble())
        }
        expectThat(allowed.first()).isEqualTo(8)
        expectThat(allowed.last()).isEqualTo(0)
        expectThat(limit.allowedSlots(share = 8, nowMillis = 1e9)).isEqualTo(1)
        expectThat(limit.slowness).isGreaterThan(9.0)
    }

    @Test
    fun `allows one request at a time soon after a server turns slow`() {
        val limit = ConcurrencyLimit()
        repeat(500) { limit.recordRun(10.0, 10.0, 1.0, it.toDouble(), inUse = 5) }
        repeat(20) { limit.recordRun(100.0, 10.0, 1.0, 500.0, inUse = 8) }
        expectThat(limit.allowedSlots(share = 8, nowMillis = 1e9)).isEqualTo(1)
    }

    @Test
    fun `keeps the limit after a single slow response`() {
        val limit = ConcurrencyLimit()
        repeat(500) { limit.recordRun(10.0, 10.0, 1.0, it.toDouble(), inUse = 5) }
        limit.recordRun(100.0, 10.0, 1.0, 500.0, inUse = 5)
        expectThat(limit.allowedSlots(share = 8, nowMillis = 500.0)).isEqualTo(8)
    }

    @Test
    fun `restores the whole share once a server is fast again`() {
        val limit = ConcurrencyLimit()
        repeat(2_000) { limit.recordRun(100.0, 10.0, 1.0, it.toDouble(), inUse = 8) }
        repeat(200) { limit.recordRun(10.0, 10.0, 1.0, it.toDouble(), inUse = 8) }
        expectThat(limit.allowedSlots(share = 8, nowMillis = 1e9)).isEqualTo(8)
    }

    @Test
    fun `keeps the limit of a server that is as slow as its peers`() {
        val limit = ConcurrencyLimit()
        repeat(1_000) { limit.recordRun(100.0, 10.0, 10.0, it.toDouble(), inUse = 8) }
        expectThat(limit.allowedSlots(share = 8, nowMillis = 1_000.0)).isEqualTo(8)
        expectThat(limit.slowness).isLessThan(10.1)
    }
}
