package sycamoremast.daemon.workflow

import java.util.concurrent.TimeUnit.SECONDS
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNull
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

    private fun awaitRegistration(): Boolean {
        val until = System.nanoTime() + SECONDS.toNanos(WAIT_SECONDS)
        while (System.nanoTime() < until) {
            if (store.get(key).getOrNull() != null) return true
            Thread.sleep(POLL_MILLIS)
        }
        return false
    }

    // A write of the host's earlier process may arrive late and put the entry under a lease that
    // nobody renews. Guards against a host that then stays unregistered and never relays again.
    @Test
    fun `registers again after the lease of an earlier process's delayed write ends`() {
        expectThat(awaitRegistration()).isTrue()
        val earlierLease = checkNotNull(store.grantLease(1.seconds).getOrNull())
        val delayedWrite = StorePut(key, encodeRecord(record), earlierLease)
        store.apply(StoreTransaction(emptyMap(), listOf(delayedWrite)))
        store.revokeLease(earlierLease)
        expectThat(awaitRegistration()).isTrue()
    }

    // Guards against an owner that counts on a process which has ended (LOST, issue 49).
    @Test
    fun `deletes its entry when it leaves, and does not register again`() {
        expectThat(awaitRegistration()).isTrue()
        registry.leave()
        expectThat(store.get(key).getOrNull()).isNull()
        Thread.sleep(POLL_MILLIS)
        expectThat(store.get(key).getOrNull()).isNull()
    }

    private companion object {
        /** Several renewal intervals. */
        const val WAIT_SECONDS = 10L
        const val POLL_MILLIS = 20L
    }
}
