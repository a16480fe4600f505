package sycamoremast.daemon.workflow

import arrow.core.Either
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowStep
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.workflow.MemoryStore.Fault

/** Tries all orders of two submissions and two cancellations of one workflow, on two hosts. */
class CancellationOrderTest {
    private val log = EventLog { }
    private val workflow = Workflow(
        "id",
        QueuePolicy("queue", "service"),
        "payload",
        listOf(WorkflowStep(1, Resources(1, 1))),
        submittedMillis = 0
    )

    // A submission carried out late made a workflow run whose cancellation was answered as absent.
    @Test
    fun `stores no workflow after its cancellation was answered as absent`() {
        val broken = ArrayList<String>()
        var absentCount = 0
        for (order in permutations(Step.entries)) {
            for (faults in faultSequences(FAULTY_COMMITS)) {
                val calls = if (Fault.DELAYED in faults) 0..MAX_CALLS else 0..0
                for (lateCall in calls) {
                    val trial = Trial(order, faults, lateCall)
                    trial.run()
                    absentCount += trial.cancellations.count { it == Lookup.Absent }
                    broken += trial.violations()
                }
            }
        }
        expectThat(absentCount).isGreaterThan(0)
        expectThat(broken.take(MAX_SHOWN)).isEmpty()
    }

    private enum class Step { SUBMIT, SUBMIT_AGAIN, CANCEL, CANCEL_AGAIN }

    /** Applies delayed transactions of [store] before its call number [lateCall]. */
    private class LateStore(private val store: MemoryStore, private val lateCall: Int) :
        TransactionalStore by store {
        private var calls = 0

        override fun get(key: String, mayBeStale: Boolean): Either<StoreError, StoreEntry?> {
            countCall()
            return store.get(key, mayBeStale)
        }

        override fun commit(transaction: StoreTransaction): Either<StoreError, CommitResult> {
            countCall()
            return store.commit(transaction)
        }

        private fun countCall() {
            if (calls++ == lateCall) store.applyDelayed()
        }
    }

    private inner class Trial(
        private val order: List<Step>,
        private val faults: List<Fault?>,
        private val lateCall: Int
    ) {
        private val memory = MemoryStore()
        private val store = LateStore(memory, lateCall)
        private val one = Gateway(store, "one", 0, log) { null }
        private val two = Gateway(store, "two", 0, log) { null }
        private val acceptances = ArrayList<Acceptance>()
        val cancellations = ArrayList<Lookup<Unit>>()

        fun run() {
            memory.failCommits(faults)
            for (step in order) {
                when (step) {
                    Step.SUBMIT -> acceptances += one.accept(workflow)
                    Step.SUBMIT_AGAIN -> acceptances += two.accept(workflow)
                    Step.CANCEL -> cancellations += two.cancel(workflow.id)
                    Step.CANCEL_AGAIN -> cancellations += one.cancel(workflow.id)
                }
            }
            memory.applyDelayed()
        }

        fun violations(): List<String> {
            val job = memory.entries[WorkflowKeys.job(workflow.id)]
            val isStored = job?.let { decodeRecordOrNull<AcceptanceRecord>(it.value) }
                ?.workflow != null
            val isCancelled = WorkflowKeys.cancel(workflow.id) in memory.entries
            return listOfNotNull(
                "absent, but stored".takeIf { isStored && Lookup.Absent in cancellations },
                "cancelled, but not recorded"
                    .takeIf { isStored && !isCancelled && Lookup.Found(Unit) in cancellations },
                "accepted, but not stored"
                    .takeIf { !isStored && Acceptance.Accepted in acceptances },
                "refused, but stored"
                    .takeIf { isStored && acceptances.all { it is Acceptance.Refused } }
            ).map { "$it: $order, faults $faults, late before call $lateCall" }
        }
    }

    private fun faultSequences(length: Int): List<List<Fault?>> = if (length == 0) {
        listOf(emptyList())
    } else {
        faultSequences(length - 1).flatMap { head ->
            (Fault.entries + null).map { head + it }
        }
    }

    private fun permutations(steps: List<Step>): List<List<Step>> = if (steps.isEmpty()) {
        listOf(emptyList())
    } else {
        steps.flatMap { first -> permutations(steps - first).map { listOf(first) + it } }
    }

    private companion object {
        /** Two of each submission: the workflow and its refusal marker. */
        const val FAULTY_COMMITS = 4

        /** More calls than the four steps make. */
        const val MAX_CALLS = 14
        const val MAX_SHOWN = 5
    }
}
