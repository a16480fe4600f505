package sycamoremast.daemon.platform

import arrow.core.Either
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.map
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.standins.KeyValueFaults
import sycamoremast.standins.KeyValueServer

class HttpKeyValueStoreTest {
    private val server = KeyValueServer.start()
    private val address = "127.0.0.1:${server.port}"
    private val store = HttpKeyValueStore.at(address, testClient(), testWatchIdleTimeout)

    @AfterEach
    fun close() = server.close()

    @Test
    fun `a swap applies only at the expected version or else returns the current entry`() {
        val version = applied(store.compareAndSwap("k", StoreEntry.ABSENT, "ā"))
        val current = StoreEntry("k", "ā", version)
        expectThat(value(store.get("k"))).isEqualTo(current)
        expectThat(value(store.compareAndSwap("k", StoreEntry.ABSENT, "b")))
            .isEqualTo(SwapOutcome.Conflict(current))
        expectThat(applied(store.compareAndSwap("k", version, "b"))).isGreaterThan(version)
        expectThat(
            value(store.compareAndSwap("gone", 7, "b"))
        ).isEqualTo(SwapOutcome.Conflict(null))
    }

    @Test
    fun `a delete applies only at the expected version`() {
        val version = applied(store.compareAndSwap("k", StoreEntry.ABSENT, "a"))
        expectThat(value(store.compareAndDelete("k", version + 1)))
            .isEqualTo(SwapOutcome.Conflict(StoreEntry("k", "a", version)))
        applied(store.compareAndDelete("k", version))
        expectThat(value(store.get("k"))).isNull()
    }

    @Test
    fun `list returns only keys with the prefix, ordered by key`() {
        for (key in listOf("p/b", "p/a", "p0", "o")) applied(store.compareAndSwap(key, 0, key))
        val listing = value(store.list("p/"))
        expectThat(listing.entries).map { it.key }.isEqualTo(listOf("p/a", "p/b"))
        expectThat(listing.revision).isEqualTo(value(store.get("o"))?.version)
    }

    @Test
    fun `the keys of a lease are deleted when it expires`() {
        val lease = value(store.grantLease(200.milliseconds))
        applied(store.compareAndSwap("k", StoreEntry.ABSENT, "a", lease))
        expectThat(value(store.keepAlive(lease))).isEqualTo(true)
        server.setFaults(KeyValueFaults(expireLeases = true))
        expectThat(value(store.keepAlive(lease))).isEqualTo(false)
        expectThat(value(store.get("k"))).isNull()
        expectThat(store.revokeLease(lease)).isEqualTo(Either.Right(Unit))
    }

    @Test
    fun `a write under a revoked lease has no effect`() {
        val lease = value(store.grantLease(5.seconds))
        value(store.revokeLease(lease))
        expectThat(error(store.compareAndSwap("k", 0, "a", lease))).isA<StoreError.NotSent>()
        expectThat(value(store.get("k"))).isNull()
    }

    @Test
    fun `a refused connection is reported as not sent`() {
        val closed = HttpKeyValueStore.at(closedAddress(), testClient(), testWatchIdleTimeout)
        expectThat(error(closed.compareAndSwap("k", 0, "a"))).isA<StoreError.NotSent>()
        val listener = RecordingListener()
        closed.watch("p/", 1, listener)
        expectThat(listener.next()).isA<WatchCall.End>().get { error }.isA<StoreError.NotSent>()
    }

    @Test
    fun `a response lost after the write is reported as lost and the write is visible`() {
        server.setFaults(KeyValueFaults(dropAnswers = 1))
        val error = error(store.compareAndSwap("k", 0, "a"))
        expectThat(error).isA<StoreError.AnswerLost>()
        expectThat(error.step).isEqualTo("store-swap")
        expectThat(error.peer).isEqualTo(address)
        expectThat(value(store.get("k"))).isNotNull().get { value }.isEqualTo("a")
        expectThat(server.calls()["txn"]).isEqualTo(1)
    }

    @Test
    fun `calls to a service that is down or too slow are reported as lost`() {
        for (faults in listOf(KeyValueFaults(down = true), KeyValueFaults(slowMillis = 1_500))) {
            server.setFaults(faults)
            expectThat(error(store.compareAndSwap("k", 0, "a"))).isA<StoreError.AnswerLost>()
            expectThat(error(store.get("k"))).isA<StoreError.AnswerLost>()
        }
    }

    @Test
    fun `a watch reports changes under its prefix from its start revision`() {
        val first = applied(store.compareAndSwap("p/a", 0, "1"))
        applied(store.compareAndSwap("q", 0, "1"))
        val listener = RecordingListener()
        val watch = store.watch("p/", first, listener)
        expectThat(listener.next()).isEqualTo(WatchCall.Change("p/a", "1", first))
        val second = applied(store.compareAndSwap("p/b", 0, "2"))
        expectThat(listener.next()).isEqualTo(WatchCall.Change("p/b", "2", second))
        val third = applied(store.compareAndDelete("p/a", first))
        expectThat(listener.next()).isEqualTo(WatchCall.Change("p/a", null, third))
        watch.close()
        expectThat(listener.next()).isEqualTo(WatchCall.End(null))
        expectThat(server.calls()["watch"]).isEqualTo(1)
    }

    @Test
    fun `a watch ends with an error when the service goes down`() {
        val listener = RecordingListener()
        store.watch("p/", 1, listener)
        applied(store.compareAndSwap("p/a", 0, "1"))
        listener.next()
        server.setFaults(KeyValueFaults(down = true))
        expectThat(listener.next()).isA<WatchCall.End>().get { error }.isA<StoreError.AnswerLost>()
    }

    @Test
    fun `a frozen watch ends after its idle timeout and a new one catches up`() {
        val shortIdleStore = HttpKeyValueStore.at(address, testClient(), 300.milliseconds)
        server.setFaults(KeyValueFaults(freezeWatch = true))
        val frozen = RecordingListener()
        shortIdleStore.watch("p/", 1, frozen)
        val version = applied(store.compareAndSwap("p/a", 0, "1"))
        expectThat(frozen.next()).isA<WatchCall.End>().get { error }.isA<StoreError.AnswerLost>()
        server.setFaults(KeyValueFaults())
        val listener = RecordingListener()
        store.watch("p/", version, listener).use {
            expectThat(listener.next()).isEqualTo(WatchCall.Change("p/a", "1", version))
        }
    }

    private fun <T> value(result: Either<StoreError, T>): T =
        result.fold({ throw AssertionError("failed: $it") }, { it })

    private fun <T> error(result: Either<StoreError, T>): StoreError =
        result.fold({ it }, { throw AssertionError("succeeded: $it") })

    private fun applied(result: Either<StoreError, SwapOutcome>): Long =
        (value(result) as SwapOutcome.Applied).version
}
