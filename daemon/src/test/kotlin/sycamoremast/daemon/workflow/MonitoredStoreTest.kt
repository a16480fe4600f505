package sycamoremast.daemon.workflow

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit.SECONDS
import java.util.concurrent.atomic.AtomicLong
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.TransactionalStore
import sycamoremast.daemon.control.eventually

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

    // Guards against leases that lapse while a host waits for a listing that it sent into an outage
    // of the store, after the store is back (LOST).
    @Test
    fun `lists nothing in an outage before the store answers a probe`() {
        val calls = ConcurrentLinkedQueue<String>()
        val recording = object : TransactionalStore by store {
            override fun get(key: String, mayBeStale: Boolean) =
                store.get(key, mayBeStale).also { calls += "get" }

            override fun page(prefix: String, after: String, mayBeStale: Boolean) =
                store.page(prefix, after, mayBeStale).also { calls += "page" }
        }
        val clock = AtomicLong()
        val lost = MonitoredStore(recording, { clock.get() })
        store.isDown = true
        clock.set(LOSS_MILLIS)
        repeat(2) { lost.page("a/") }
        expectThat(lost.isLost).isTrue()
        calls.clear()
        val listing = CompletableFuture.supplyAsync { lost.page("a/") }
        eventually("the store is probed") { calls.isNotEmpty() }
        store.isDown = false
        // The next probe is due.
        clock.addAndGet(LOSS_MILLIS)
        expectThat(listing.get(10, SECONDS).isRight()).isTrue()
        expectThat(calls.first()).isEqualTo("get")
        expectThat(calls.count { it == "page" }).isEqualTo(1)
        expectThat(lost.isLost).isFalse()
    }

    @Test
    fun `says that a listing was not sent if no probe is answered`() {
        val clock = MonotonicClock.system()
        val lost = MonitoredStore(store, clock)
        store.isDown = true
        eventually("the store is lost") {
            lost.get("a")
            lost.isLost
        }
        expectThat(lost.page("a/").leftOrNull()).isA<StoreError.NotSent>()
            .get { reason }.isEqualTo("the store does not answer")
    }

    private companion object {
        const val LOSS_MILLIS = 1_000L
    }
}
