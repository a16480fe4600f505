package sycamoremast.daemon.workflow

import java.util.concurrent.TimeUnit.SECONDS
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.daemon.log.EventLog

class HostRegistryTest {
    private val store = MemoryStore()
    private val record = HostRecord("10.0.0.1:7000", "zone", 2.0)
    private val key = WorkflowKeys.host("host")
    private val registry = HostRegistry(store, "host", record, EventLog { }) { }.start()

    @AfterEach
    fun close() = registry.close()

    private fun isRegisteredSoon(): Boolean {
        val until = System.nanoTime() + SECONDS.toNanos(WAIT_SECONDS)
        while (System.nanoTime() < until) {
            if (store.get(key).getOrNull() != null) return true
            Thread.sleep(POLL_MILLIS)
        }
        return false
    }

    // Guards against a host that relays nothing for good after a restart.
    @Test
    fun `a host registers anew after a late write of its earlier process lapsed`() {
        expectThat(isRegisteredSoon()).isTrue()
        val earlier = checkNotNull(store.grantLease(1.seconds).getOrNull())
        val late = StorePut(key, encodeRecord(record), earlier)
        store.apply(StoreTransaction(emptyMap(), listOf(late)))
        store.revokeLease(earlier)
        expectThat(isRegisteredSoon()).isTrue()
    }

    private companion object {
        /** Several rounds of renewals. */
        const val WAIT_SECONDS = 10L
        const val POLL_MILLIS = 20L
    }
}
