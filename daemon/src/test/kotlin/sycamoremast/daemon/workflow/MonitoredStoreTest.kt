package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.left
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit.SECONDS
import java.util.concurrent.atomic.AtomicLong
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreEntry
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
        repeat(2) { lost.get("a") }
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

    // Guards against the same wait in a process that starts in an outage, as a restarted owner (LOST).
    @Test
    fun `lists nothing before the store has answered the process at all`() {
        val calls = ConcurrentLinkedQueue<String>()
        val recording = object : TransactionalStore by store {
            override fun get(key: String, mayBeStale: Boolean) =
                store.get(key, mayBeStale).also { calls += "get" }

            override fun page(prefix: String, after: String, mayBeStale: Boolean) =
                store.page(prefix, after, mayBeStale).also { calls += "page" }
        }
        val started = MonitoredStore(recording, MonotonicClock.system())
        store.isDown = true
        val listing = CompletableFuture.supplyAsync { started.page("a/") }
        eventually("the store is probed") { calls.isNotEmpty() }
        expectThat(calls.contains("page")).isFalse()
        store.isDown = false
        expectThat(listing.get(10, SECONDS).isRight()).isTrue()
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

    // Guards against requests that are refused after an outage as probes sent into it fail late.
    @Test
    fun `takes no probe that was sent before the last answer for a sign of an outage`() {
        val sent = Semaphore(0)
        val end = CountDownLatch(1)
        val silent = object : TransactionalStore by store {
            override fun get(key: String, mayBeStale: Boolean): Either<StoreError, StoreEntry?> {
                if (key != WorkflowKeys.PROBE) return store.get(key, mayBeStale)
                sent.release()
                end.await(10, SECONDS)
                return StoreError.AnswerLost("get", key, "timeout").left()
            }
        }
        val clock = AtomicLong()
        val regained = MonitoredStore(silent, clock::get)
        val listing = CompletableFuture.supplyAsync { regained.page("a/") }
        repeat(2) {
            expectThat(sent.tryAcquire(10, SECONDS)).isTrue()
            clock.addAndGet(100)
        }
        regained.get("a")
        expectThat(listing.get(10, SECONDS).isRight()).isTrue()
        clock.addAndGet(LOSS_MILLIS)
        end.countDown()
        Thread.sleep(100)
        expectThat(regained.isUnavailable).isFalse()
        expectThat(regained.isLost).isFalse()
    }

    // Guards against standbys that notice an outage late, as their watches were sent before it (LOST).
    @Test
    fun `takes a call that was sent before the last answer for a sign of an outage`() {
        val sent = CountDownLatch(2)
        val end = CountDownLatch(1)
        val silent = object : TransactionalStore by store {
            override fun get(key: String, mayBeStale: Boolean): Either<StoreError, StoreEntry?> {
                if (key != "silent") return store.get(key, mayBeStale)
                sent.countDown()
                end.await(10, SECONDS)
                return StoreError.AnswerLost("get", key, "timeout").left()
            }
        }
        val clock = AtomicLong()
        val lost = MonitoredStore(silent, clock::get)
        val calls = List(2) { CompletableFuture.supplyAsync { lost.get("silent") } }
        expectThat(sent.await(10, SECONDS)).isTrue()
        clock.set(LOSS_MILLIS)
        lost.get("a")
        clock.set(2 * LOSS_MILLIS)
        end.countDown()
        calls.forEach { it.get(10, SECONDS) }
        expectThat(lost.isLost).isTrue()
    }

    private companion object {
        const val LOSS_MILLIS = 1_000L
    }
}
