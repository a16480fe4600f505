package sycamoremast.daemon.workflow

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.SECONDS
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.daemon.log.EventLog

class ElectionTest {
    private val store = MemoryStore()
    private val terms = LinkedBlockingQueue<Term>()
    private val elections = ArrayList<AutoCloseable>()

    @AfterEach
    fun close() = elections.forEach { it.close() }

    private fun startElection(host: String, electionStore: TransactionalStore = store) {
        val listener = object : TermListener {
            override fun onBegin(term: Term) {
                terms += term
            }

            override fun onEnd(reason: String) = Unit
        }
        val clock = MonotonicClock.system()
        elections += Election(electionStore, host, 0, clock, EventLog { }, listener).start()
    }

    private fun owner() = store.entries[WorkflowKeys.owner(0)]
        ?.let { decodeRecordOrNull<OwnerRecord>(it.value) }

    private fun writeOwner(host: String, epoch: Long) = store.apply(
        StoreTransaction(
            emptyMap(),
            listOf(
                StorePut(WorkflowKeys.owner(0), encodeRecord(OwnerRecord(host, epoch))),
                StorePut(WorkflowKeys.epoch(0), encodeRecord(EpochRecord(epoch, 0)))
            )
        )
    )

    @Test
    fun `claims the set when the owner's key names the same host`() {
        writeOwner("host", 3)
        startElection("host")
        expectThat(terms.poll(WAIT_SECONDS, SECONDS)).isNotNull().get { epoch }.isEqualTo(4)
        expectThat(owner()).isEqualTo(OwnerRecord("host", 4))
    }

    private fun writeLastClaim(host: String, epoch: Long) = store.apply(
        StoreTransaction(
            emptyMap(),
            listOf(
                StorePut(
                    WorkflowKeys.owner(0, OwnerDetail.LAST_CLAIM),
                    encodeRecord(OwnerRecord(host, epoch))
                ),
                StorePut(WorkflowKeys.epoch(0), encodeRecord(EpochRecord(epoch, 0)))
            )
        )
    )

    // Guards against a wait for an owner that was this host's earlier process, after an outage.
    @Test
    fun `knows that an owner on this host has ended whose key was deleted`() {
        writeLastClaim("host", 3)
        startElection("host")
        expectThat(terms.poll(WAIT_SECONDS, SECONDS)).isNotNull().get { sightings.ends.keys }
            .containsExactly(3L)
    }

    @Test
    fun `does not know whether an owner on another host has ended`() {
        writeLastClaim("other", 3)
        startElection("host")
        expectThat(terms.poll(WAIT_SECONDS, SECONDS)).isNotNull().get { sightings.ends.keys }
            .isEmpty()
    }

    // Guards against a claim by a host that has to wait longest for workers that don't answer.
    @Test
    fun `leaves a claim to hosts that have seen heartbeats`() {
        writeLastClaim("other", 3)
        val startNanos = System.nanoTime()
        startElection("host")
        expectThat(terms.poll(WAIT_SECONDS, SECONDS)).isNotNull()
        expectThat((System.nanoTime() - startNanos) / NANOS_PER_MILLI).isGreaterThan(300L)
    }

    @Test
    fun `leaves the key to another host that claims it first`() {
        val overtaken = LinkedBlockingQueue<Boolean>()
        val slow = object : TransactionalStore by store {
            override fun get(key: String, mayBeStale: Boolean) = store.get(key, mayBeStale).also {
                if (key == WorkflowKeys.epoch(0) && owner() == null) {
                    writeOwner("other", 1)
                    // Lets the follower of the claiming host see the other host's claim first.
                    Thread.sleep(PROPAGATION_MILLIS)
                    overtaken += true
                }
            }
        }
        startElection("host", slow)
        expectThat(overtaken.poll(WAIT_SECONDS, SECONDS)).isNotNull()
        Thread.sleep(PROPAGATION_MILLIS)
        expectThat(owner()).isEqualTo(OwnerRecord("other", 1))
    }

    private companion object {
        const val WAIT_SECONDS = 30L
        const val NANOS_PER_MILLI = 1_000_000L
        const val PROPAGATION_MILLIS = 200L
    }
}
