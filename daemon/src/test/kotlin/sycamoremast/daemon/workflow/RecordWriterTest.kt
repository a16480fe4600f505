package sycamoremast.daemon.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.workflow.ForgottenWorkflow
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.InterferenceRecord
import sycamoremast.coordination.workflow.RecordBatch
import sycamoremast.coordination.workflow.RecordVersion
import sycamoremast.coordination.workflow.RosterRecord
import sycamoremast.coordination.workflow.StoreSightings
import sycamoremast.coordination.workflow.WorkerRef
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.workflow.MemoryStore.Fault

class RecordWriterTest {
    private val store = MemoryStore()
    private val writer = RecordWriter(store, 0, Term(1, claim(1), StoreSightings(0)), EventLog { })

    private fun claim(epoch: Long): Long {
        val key = WorkflowKeys.epoch(0)
        val version = store.entries[key]?.version ?: StoreEntry.ABSENT
        val put = StorePut(key, encodeRecord(EpochRecord(epoch, 0)))
        val result = store.apply(StoreTransaction(mapOf(key to version), listOf(put)))
        return (result as CommitResult.Applied).revision
    }

    private fun write(phase: WorkflowPhase) =
        writer.write(RecordBatch(mapOf("id" to WorkflowProgress(phase)), null, null)) { true }

    private fun phase() = decodeRecordOrNull<WorkflowProgress>(
        store.entries.getValue(WorkflowKeys.progress(0, "id")).value
    )?.phase

    @Test
    fun `writes batches in order`() {
        expectThat(write(WorkflowPhase.RUNNING)).isTrue()
        expectThat(write(WorkflowPhase.COMPLETED)).isTrue()
        expectThat(phase()).isEqualTo(WorkflowPhase.COMPLETED)
    }

    @Test
    fun `recognizes its own batch after a lost answer`() {
        store.failCommits(Fault.ANSWER_LOST)
        expectThat(write(WorkflowPhase.RUNNING)).isTrue()
        expectThat(write(WorkflowPhase.COMPLETED)).isTrue()
    }

    @Test
    fun `is not affected by a delayed commit of an earlier batch`() {
        store.failCommits(Fault.DELAYED)
        expectThat(write(WorkflowPhase.RUNNING)).isTrue()
        expectThat(write(WorkflowPhase.COMPLETED)).isTrue()
        expectThat(store.applyDelayed().single()).isA<CommitResult.Conflict>()
        expectThat(phase()).isEqualTo(WorkflowPhase.COMPLETED)
    }

    // Guards against a planned stop whose hand-over is taken for written though it is not.
    @Test
    fun `writes a batch after one that was given up although it took effect`() {
        store.failCommits(Fault.ANSWER_LOST)
        var attempts = 0
        val running =
            RecordBatch(mapOf("id" to WorkflowProgress(WorkflowPhase.RUNNING)), null, null)
        expectThat(writer.write(running) { attempts++ == 0 }).isFalse()
        expectThat(write(WorkflowPhase.COMPLETED)).isTrue()
        expectThat(phase()).isEqualTo(WorkflowPhase.COMPLETED)
    }

    // Guards against an owner that records nothing any more, as the store refuses its batch for good.
    @Test
    fun `writes the largest batch with no more entries than the platform's store takes`() {
        store.maxTransactionEntries = RecordBatch.MAX_TRANSACTION_ENTRIES
        val largest = RecordBatch(
            List(RecordBatch.MAX_WORKFLOWS) { "$it" to WorkflowProgress(WorkflowPhase.RUNNING) }
                .toMap(),
            roster = emptyList(),
            waiting = emptyMap(),
            interference = InterferenceRecord(emptyList(), 0),
            isHeartbeat = true
        )
        var attempts = 0
        expectThat(writer.write(largest) { attempts++ == 0 }).isTrue()
    }

    @Test
    fun `names the roster that it wrote where other hosts see it`() {
        write(WorkflowPhase.RUNNING)
        writer.write(RecordBatch(emptyMap(), emptyList(), null)) { true }
        val roster = store.entries.getValue(WorkflowKeys.roster(0)).value
        val version = store.entries.getValue(WorkflowKeys.owner(0, OwnerDetail.ROSTER)).value
        expectThat(decodeRecordOrNull<RosterRecord>(roster)).isNotNull()
            .get { this.version }.isEqualTo(RecordVersion(1, 2))
        expectThat(decodeRecordOrNull<RecordVersion>(version)).isEqualTo(RecordVersion(1, 2))
    }

    @Test
    fun `names the last heartbeat where other hosts see it`() {
        writer.write(RecordBatch(emptyMap(), null, null, isHeartbeat = true)) { true }
        write(WorkflowPhase.RUNNING)
        val version = store.entries.getValue(WorkflowKeys.owner(0, OwnerDetail.HEARTBEAT)).value
        expectThat(decodeRecordOrNull<RecordVersion>(version)).isEqualTo(RecordVersion(1, 1))
    }

    @Test
    fun `writes nothing after another owner's claim`() {
        write(WorkflowPhase.RUNNING)
        claim(2)
        expectThat(write(WorkflowPhase.COMPLETED)).isFalse()
        expectThat(phase()).isEqualTo(WorkflowPhase.RUNNING)
    }

    private val job = StorePut(WorkflowKeys.job("id"), "job")
    private val cancel = StorePut(WorkflowKeys.cancel("id"), "host")

    private fun forget(isCancelled: Boolean = true): Boolean {
        val forgotten = listOf(ForgottenWorkflow("id", isCancelled))
        return writer.write(RecordBatch(emptyMap(), null, null, forgotten = forgotten)) { true }
    }

    private fun keysOfWorkflow() = store.entries.keys.filter { it.endsWith("/id") }.toSet()

    @Test
    fun `deletes all records of a forgotten workflow at once`() {
        write(WorkflowPhase.CANCELLED)
        store.apply(StoreTransaction(emptyMap(), listOf(job, cancel)))
        store.failCommits(Fault.ANSWER_LOST)
        expectThat(forget()).isTrue()
        expectThat(keysOfWorkflow()).isEmpty()
        val deletions = store.history.filter { it.value == null }
        expectThat(deletions.map { it.revision }.toSet().size).isEqualTo(1)
    }

    // Guards against the loss of a new workflow with the same ID, by a deletion done twice (LOST).
    @Test
    fun `a deletion that is done late has no effect`() {
        write(WorkflowPhase.COMPLETED)
        store.apply(StoreTransaction(emptyMap(), listOf(job)))
        store.failCommits(Fault.DELAYED)
        expectThat(forget(isCancelled = false)).isTrue()
        expectThat(keysOfWorkflow()).isEmpty()
        store.apply(StoreTransaction(emptyMap(), listOf(job)))
        expectThat(store.applyDelayed().single()).isA<CommitResult.Conflict>()
        expectThat(keysOfWorkflow()).isEqualTo(setOf(WorkflowKeys.job("id")))
    }

    // Guards against a replaced owner that deletes what its successor has read (LOST, TWICE).
    @Test
    fun `a deletion of a replaced owner has no effect`() {
        write(WorkflowPhase.COMPLETED)
        store.apply(StoreTransaction(emptyMap(), listOf(job)))
        store.failCommits(Fault.DELAYED)
        claim(2)
        expectThat(forget()).isFalse()
        store.applyDelayed()
        expectThat(keysOfWorkflow())
            .isEqualTo(setOf(WorkflowKeys.job("id"), WorkflowKeys.progress(0, "id")))
    }

    private fun rosterText() = store.entries.getValue(WorkflowKeys.roster(0)).value

    @Test
    fun `names the standbys in the roster`() {
        val standbys = setOf(HostProcess("h1/a"), HostProcess("h2"))
        val batch = RecordBatch(emptyMap(), emptyList(), null, standbys = standbys)
        expectThat(writer.write(batch) { true }).isTrue()
        expectThat(decodeRecordOrNull<RosterRecord>(rosterText())).isNotNull()
            .get { this.standbys }.isEqualTo(standbys)
    }

    @Test
    fun `names no standbys in a roster for a batch without them`() {
        expectThat(writer.write(RecordBatch(emptyMap(), emptyList(), null)) { true }).isTrue()
        expectThat(decodeRecordOrNull<RosterRecord>(rosterText())).isNotNull()
            .get { standbys }.isEmpty()
    }

    // Guards against a successor that assumes another quorum than the owner keeps to (TWICE).
    @Test
    fun `names what an announced heartbeat needs in the roster`() {
        val workers = List(9) { WorkerRef("w$it", "10.0.0.$it:1") }
        writer.write(RecordBatch(emptyMap(), workers, null)) { true }
        expectThat(decodeRecordOrNull<RosterRecord>(rosterText())).isNotNull().and {
            get { needsWorkers }.isTrue()
            get { quorum }.isEqualTo(6)
        }
    }

    // Guards against a roster that a host of an earlier version wrote, and that can't be read.
    @Test
    fun `reads a roster of an earlier version as one without standbys`() {
        val text = """{"workers":[{"id":"w1","address":"10.0.0.1:1"}],"epoch":3,"batch":2}"""
        expectThat(decodeRecordOrNull<RosterRecord>(text)).isNotNull().and {
            get { workers }.isEqualTo(listOf(WorkerRef("w1", "10.0.0.1:1")))
            get { version }.isEqualTo(RecordVersion(3, 2))
            get { standbys }.isEmpty()
            get { needsWorkers }.isFalse()
            get { quorum }.isNull()
        }
    }
}
