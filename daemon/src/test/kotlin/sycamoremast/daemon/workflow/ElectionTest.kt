package sycamoremast.daemon.workflow

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.SECONDS
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.daemon.log.EventLog

class ElectionTest {
    private val store = MemoryStore()
    private val terms = LinkedBlockingQueue<Term>()
    private val open = ArrayList<AutoCloseable>()

    @AfterEach
    fun close() = open.forEach { it.close() }

    private fun stand(host: String, on: TransactionalStore = store) {
        val listener = object : TermListener {
            override fun onBegin(term: Term) {
                terms += term
            }

            override fun onEnd(reason: String) = Unit
        }
        val clock = MonotonicClock.system()
        open += Election(on, host, 0, clock, EventLog { }, listener).start()
    }

    private fun owner() = store.entries[WorkflowKeys.owner(0)]
        ?.let { decodeRecordOrNull<OwnerRecord>(it.value) }

    private fun own(host: String, epoch: Long) = store.apply(
        StoreTransaction(
            emptyMap(),
            listOf(
                StorePut(WorkflowKeys.owner(0), encodeRecord(OwnerRecord(host, epoch))),
                StorePut(WorkflowKeys.epoch(0), encodeRecord(EpochRecord(epoch, 0)))
            )
        )
    )

    @Test
    fun `a host that finds its own name as the owner's takes over from its earlier process`() {
        own("host", 3)
        stand("host")
        expectThat(terms.poll(WAIT_SECONDS, SECONDS)).isNotNull().get { epoch }.isEqualTo(4)
        expectThat(owner()).isEqualTo(OwnerRecord("host", 4))
    }

    @Test
    fun `a host that is overtaken while it claims leaves the key to the other`() {
        val overtaken = LinkedBlockingQueue<Boolean>()
        val slow = object : TransactionalStore by store {
            override fun get(key: String, mayBeStale: Boolean) = store.get(key, mayBeStale).also {
                if (key == WorkflowKeys.epoch(0) && owner() == null) {
                    own("other", 1)
                    // The claiming host's follower sees the other's claim before it goes on.
                    Thread.sleep(SEEN_MILLIS)
                    overtaken += true
                }
            }
        }
        stand("host", slow)
        expectThat(overtaken.poll(WAIT_SECONDS, SECONDS)).isNotNull()
        Thread.sleep(SEEN_MILLIS)
        expectThat(owner()).isEqualTo(OwnerRecord("other", 1))
    }

    private companion object {
        const val WAIT_SECONDS = 30L
        const val SEEN_MILLIS = 200L
    }
}
