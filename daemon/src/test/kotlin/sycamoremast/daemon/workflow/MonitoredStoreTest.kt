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
    fun `one failure is no outage`() {
        store.isDown = true
        now += 5_000
        monitored.get("a")
        expectThat(monitored.isOut).isFalse()
    }

    @Test
    fun `a store that keeps failing is out until its next answer`() {
        store.isDown = true
        now += 500
        repeat(2) { monitored.get("a") }
        expectThat(monitored.isOut).isTrue()
        expectThat(monitored.silentMillis).isEqualTo(500)
        store.isDown = false
        monitored.get("a")
        expectThat(monitored.isOut).isFalse()
        expectThat(monitored.silentMillis).isEqualTo(0)
    }
}
