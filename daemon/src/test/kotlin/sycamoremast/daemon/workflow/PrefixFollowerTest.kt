package sycamoremast.daemon.workflow

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.SECONDS
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.daemon.log.EventLog

class PrefixFollowerTest {
    private val store = MemoryStore()
    private val received = LinkedBlockingQueue<String>()
    private val listener = object : PrefixListener {
        override fun onListing(listing: StoreListing) {
            received += "listing ${listing.entries.joinToString { it.value }}"
        }

        override fun onChange(change: StoreChange) {
            received += "change ${change.value}"
        }
    }
    private val follower =
        PrefixFollower(store, "a/", EventLog { }, listener, 20.milliseconds)

    private fun put(key: String, value: String) =
        store.apply(StoreTransaction(emptyMap(), listOf(StorePut(key, value))))

    private fun next() = received.poll(10, SECONDS)

    @AfterEach
    fun close() = follower.close()

    @Test
    fun `passes on the existing entries and then each change`() {
        put("a/1", "one")
        follower.start()
        expectThat(next()).isEqualTo("listing one")
        put("b/1", "other")
        put("a/2", "two")
        expectThat(next()).isEqualTo("change two")
    }

    @Test
    fun `lists again after the store has dropped its history`() {
        follower.start()
        expectThat(next()).isEqualTo("listing ")
        synchronized(store) {
            put("a/1", "one")
            store.dropHistory()
        }
        expectThat(next()).isEqualTo("listing one")
    }

    @Test
    fun `misses no change made during an outage`() {
        follower.start()
        expectThat(next()).isEqualTo("listing ")
        store.isDown = true
        Thread.sleep(100)
        put("a/1", "one")
        store.isDown = false
        expectThat(next()).isEqualTo("change one")
    }

    // Guards against relying on entries of which there may be news that were not passed on.
    @Test
    fun `says that the entries are current only while the store answers`() {
        val times = LinkedBlockingQueue<Long>()
        val confirmed = object : PrefixListener by listener {
            override fun onCurrent(asOfMillis: Long) {
                times += asOfMillis
            }
        }
        val clock = MonotonicClock.system()
        PrefixFollower(store, "a/", EventLog { }, confirmed, 20.milliseconds, clock).use {
            it.start()
            val first = checkNotNull(times.poll(10, SECONDS))
            expectThat(first).isLessThanOrEqualTo(clock.nowMillis())
            expectThat(checkNotNull(times.poll(10, SECONDS))).isGreaterThanOrEqualTo(first)
            store.isDown = true
            val downMillis = clock.nowMillis()
            Thread.sleep(100)
            times.forEach { time -> expectThat(time).isLessThanOrEqualTo(downMillis) }
            times.clear()
            val upMillis = clock.nowMillis()
            store.isDown = false
            expectThat(checkNotNull(times.poll(10, SECONDS))).isGreaterThanOrEqualTo(upMillis)
        }
    }

    // Guards against hosts that stay at an old configuration and don't say why (CONFIG).
    @Test
    fun `logs why tries fail, how many and since when, once a second at most`() {
        val lines = LinkedBlockingQueue<String>()
        val now = AtomicLong(1_000)
        val log = EventLog { lines += it }
        PrefixFollower(store, "a/", log, listener, 20.milliseconds, now::get).use {
            it.start()
            expectThat(next()).isEqualTo("listing ")
            store.isDown = true
            expectThat(lines.poll(10, SECONDS)).isNotNull().contains("event=store-lost")
            expectThat(lines.poll(10, SECONDS)).isNotNull()
                .contains("event=follow-failed prefix=a/")
                .contains("reason=refused failures=1 tookMillis=0 ageMillis=0")
            expectThat(lines.poll(SEVERAL_TRIES_MILLIS, MILLISECONDS)).isNull()
            now.addAndGet(1_000)
            expectThat(lines.poll(10, SECONDS)).isNotNull()
                .contains("event=follow-failed prefix=a/")
                .contains("ageMillis=1000")
                .not().contains("failures=1 ")
            store.isDown = false
            expectThat(lines.poll(10, SECONDS)).isNotNull()
                .contains("event=store-regained prefix=a/")
                .contains("ageMillis=1000")
        }
    }

    private companion object {
        /** A failed try is repeated after 200 ms at most. */
        const val SEVERAL_TRIES_MILLIS = 700L
    }
}
