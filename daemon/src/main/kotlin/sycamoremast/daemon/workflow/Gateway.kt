/**
 * Accepts, shows and cancels workflows on any host.
 *
 * A workflow is accepted once its record is in the store. A refusal is only told where it is certain
 * that the record is not there and can't appear any more; where neither is certain, the outcome is
 * unknown and the caller has to ask again.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.flatMap
import java.util.Collections
import kotlin.random.Random
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.daemon.log.EventLog

/** The outcome of handing a workflow in. */
sealed interface Acceptance {
    /** The workflow is stored and will run. */
    data object Accepted : Acceptance

    /**
     * The workflow is not stored and never runs by this submission.
     *
     * With [isRuledOut] a mark in the store says so, which holds for earlier attempts as well.
     */
    data class Refused(
        val reason: String,
        val retryAfterSeconds: Int,
        val isRuledOut: Boolean = false
    ) : Acceptance

    /** The workflow may be stored. */
    data class Unknown(val reason: String) : Acceptance
}

/** The outcome of a question about a workflow. */
sealed interface Lookup<out T> {
    /** The answer. */
    data class Found<T>(val value: T) : Lookup<T>

    /** There is no such workflow. */
    data object Absent : Lookup<Nothing>

    /** It can't be told now. */
    data class Unavailable(val reason: String) : Lookup<Nothing>
}

/** Serves callers on [host], for worker set [set]. */
class Gateway internal constructor(
    private val store: TransactionalStore,
    private val host: String,
    private val set: Int,
    private val log: EventLog,
    private val meters: WorkflowMeters = WorkflowMeters(),
    private val isStoreOut: () -> Boolean = { false },
    private val owner: () -> SchedulerLoop?
) {
    private val acceptedHere = rememberedIds()

    /** Workflows handed in here whose outcome was unknown: a write may still take effect. */
    private val undecidedHere = rememberedIds()

    /** Returns what became of handing [workflow] in. */
    fun accept(workflow: Workflow): Acceptance {
        val record = AcceptanceRecord(attemptId(), workflow)
        val attempted = if (isStoreOut()) {
            Acceptance.Refused("the store does not answer", RETRY_SECONDS)
        } else {
            create(workflow.id, record, StoreEntry.ABSENT)
        }
        val outcome = truthful(workflow.id, attempted)
        log.add(
            "job-submitted",
            "id" to workflow.id,
            "queue" to workflow.queue.name,
            "steps" to workflow.steps.size,
            "tasks" to workflow.steps.sumOf { it.taskCount },
            "outcome" to outcome
        )
        meters.submitted(outcome)
        when (outcome) {
            Acceptance.Accepted -> acceptedHere += workflow.id
            is Acceptance.Unknown -> undecidedHere += workflow.id
            is Acceptance.Refused -> Unit
        }
        return outcome
    }

    /** A refusal holds for all attempts: it is none while an earlier one may still take effect. */
    private fun truthful(id: String, attempted: Acceptance): Acceptance {
        if (attempted !is Acceptance.Refused) return attempted
        if (attempted.isRuledOut || id !in undecidedHere) return attempted
        return Acceptance.Unknown("an earlier attempt is undecided; ${attempted.reason}")
    }

    private fun attemptId() = "$host-${Random.nextLong().toULong().toString(RADIX)}"

    private fun create(id: String, record: AcceptanceRecord, expected: Long): Acceptance {
        val key = WorkflowKeys.job(id)
        return when (val result = put(key, record, expected)) {
            is Either.Left -> when (val error = result.value) {
                is StoreError.NotSent -> Acceptance.Refused(error.reason, RETRY_SECONDS)
                is StoreError.AnswerLost -> settle(id, error)
            }

            is Either.Right -> when (val commit = result.value) {
                is CommitResult.Applied -> Acceptance.Accepted
                is CommitResult.Conflict -> conflict(id, record, commit.current[key])
                CommitResult.LeaseGone -> Acceptance.Unknown("the store named a lease")
            }
        }
    }

    /** Takes the place of a refusal mark; anything else there is the workflow itself. */
    private fun conflict(id: String, record: AcceptanceRecord, current: StoreEntry?): Acceptance {
        if (current == null) return Acceptance.Unknown("the key changed twice")
        val there = decodeRecordOrNull<AcceptanceRecord>(current.value)
            ?: return Acceptance.Unknown("the record is unreadable")
        if (there.workflow != null) return Acceptance.Accepted
        return create(id, record, current.version)
    }

    /** Finds out what became of a write without an answer, and rules it out if it is not there. */
    private fun settle(id: String, lost: StoreError): Acceptance {
        if (isStoreOut()) return Acceptance.Unknown(lost.reason)
        val key = WorkflowKeys.job(id)
        return when (val current = store.get(key)) {
            is Either.Left -> Acceptance.Unknown(lost.reason)

            is Either.Right -> if (holdsWorkflow(current.value)) {
                Acceptance.Accepted
            } else {
                ruleOut(key, current.value, lost)
            }
        }
    }

    private fun ruleOut(key: String, current: StoreEntry?, lost: StoreError): Acceptance {
        val mark = AcceptanceRecord(attemptId())
        val marked = put(key, mark, current?.version ?: StoreEntry.ABSENT).getOrNull()
        val there = (marked as? CommitResult.Conflict)?.current?.get(key)
        return when {
            marked is CommitResult.Applied ->
                Acceptance.Refused("the store did not answer", RETRY_SECONDS, isRuledOut = true)

            holdsWorkflow(there) -> Acceptance.Accepted

            else -> Acceptance.Unknown(lost.reason)
        }
    }

    private fun holdsWorkflow(entry: StoreEntry?) =
        entry?.let { decodeRecordOrNull<AcceptanceRecord>(it.value) }?.workflow != null

    private fun put(key: String, record: AcceptanceRecord, expected: Long) = store.commit(
        StoreTransaction(mapOf(key to expected), listOf(StorePut(key, encodeRecord(record))))
    )

    /** Returns where the workflow [id] stands. */
    fun phase(id: String): Lookup<WorkflowPhase> {
        owner()?.phaseOrNull(id)?.let { return Lookup.Found(it) }
        if (isStoreOut()) return Lookup.Unavailable("the store does not answer")
        val recorded = store.get(WorkflowKeys.progress(set, id)).map { entry ->
            entry?.let { decodeRecordOrNull<WorkflowProgress>(it.value) }?.phase
        }
        val phase = recorded.flatMap { known ->
            when {
                known != null -> Either.Right(known)
                id in acceptedHere -> Either.Right(WorkflowPhase.QUEUED)
                else -> exists(id).map { if (it) WorkflowPhase.QUEUED else null }
            }
        }
        return when (phase) {
            is Either.Left -> Lookup.Unavailable(phase.value.reason)
            is Either.Right -> phase.value?.let { Lookup.Found(it) } ?: Lookup.Absent
        }
    }

    private fun exists(id: String): Either<StoreError, Boolean> =
        store.get(WorkflowKeys.job(id)).map(::holdsWorkflow)

    /** Cancels the workflow [id]. */
    fun cancel(id: String): Lookup<Unit> {
        val known = id in acceptedHere || owner()?.phaseOrNull(id) != null
        val found = if (known) Either.Right(true) else exists(id)
        val outcome = found.flatMap { if (it) mark(id) else Either.Right(false) }
        log.add("job-cancel", "id" to id, "outcome" to outcome)
        return when (outcome) {
            is Either.Left -> Lookup.Unavailable(outcome.value.reason)
            is Either.Right -> if (outcome.value) Lookup.Found(Unit) else Lookup.Absent
        }
    }

    private fun mark(id: String): Either<StoreError, Boolean> {
        val put = StorePut(WorkflowKeys.cancel(id), host)
        return store.commit(StoreTransaction(emptyMap(), listOf(put))).map { true }
            .onRight { owner()?.cancelled(id) }
    }

    /** Returns the number of accepted workflows of [queue] without a started task. */
    fun waiting(queue: String): Lookup<Int> {
        owner()?.waitingOfOrNull(queue)?.let { return Lookup.Found(it) }
        return when (val entry = store.get(WorkflowKeys.waiting(set), mayBeStale = true)) {
            is Either.Left -> Lookup.Unavailable(entry.value.reason)

            is Either.Right -> {
                val counts = entry.value?.let { decodeRecordOrNull<WaitingRecord>(it.value) }
                Lookup.Found(counts?.byQueue?.get(queue) ?: 0)
            }
        }
    }

    private fun rememberedIds(): MutableSet<String> = Collections.synchronizedSet(
        Collections.newSetFromMap(
            object : LinkedHashMap<String, Boolean>() {
                override fun removeEldestEntry(eldest: Map.Entry<String, Boolean>) =
                    size > MOST_REMEMBERED
            }
        )
    )

    private companion object {
        const val RADIX = 36

        /** Enough for some minutes of one host's submissions. */
        const val MOST_REMEMBERED = 4_096

        /** The least that the header can say; outages of the store are mostly short. */
        const val RETRY_SECONDS = 1
    }
}
