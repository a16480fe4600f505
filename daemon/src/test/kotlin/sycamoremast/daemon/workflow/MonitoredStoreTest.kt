package sycamoremast.daemon.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class MonitoredStoreTest {
    private val store = MemoryStore()
    private var now = 1_000L
    private val monitored = MonitoredStore(store, { now })

    @Test
    fun `reports no outage after a single failure`() {
        store.isDown = true
        now += 5_000
        monitored.get("a")
        expectThat(monitored.isUnavailable).isFalse()
    }

    @Test
    fun `reports an outage after repeated failures until the next answer`() {
        store.isDown = true
        now += 500
        repeat(2) { monitored.get("a") }
        expectThat(monitored.isUnavailable).isTrue()
        expectThat(monitored.silenceMillis).isEqualTo(500)
        store.isDown = false
        monitored.get("a")
        expectThat(monitored.isUnavailable).isFalse()
        expectThat(monitored.silenceMillis).isEqualTo(0)
    }
}
