/**
 * Accepts, queries and cancels workflows, on any host.
 *
 * A workflow is accepted once its record is in the store. A submission is refused only if it is
 * certain that the record is not in the store and can no longer appear there. If neither is
 * certain, the outcome is unknown and the caller has to retry.
 *
 * A cancellation is recorded before it is answered, also for an unknown workflow. Submissions are
 * conditional on that record being absent, so none takes effect after the answer.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.flatMap
import java.util.Collections
import kotlin.random.Random
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowStatus
import sycamoremast.daemon.log.EventLog

/** The outcome of submitting a workflow. */
sealed interface Acceptance {
    /** The workflow is stored and will run. */
    data object Accepted : Acceptance

    /**
     * The workflow is not stored, and this submission will never run it.
     *
     * If [isRuledOut], a record in the store guarantees this for earlier attempts as well. If
     * [retryAfterSeconds] is null, a later submission would be refused, too.
     */
    data class Refused(
        val reason: String,
        val retryAfterSeconds: Int?,
        val isRuledOut: Boolean = false
    ) : Acceptance

    /** The workflow may be stored. */
    data class Unknown(val reason: String) : Acceptance
}

/** The result of a query about a workflow or a queue. */
sealed interface Lookup<out T> {
    data class Found<T>(val value: T) : Lookup<T>

    /** There is no such workflow. */
    data object Absent : Lookup<Nothing>

    /** The result can't be determined at present. */
    data class Unavailable(val reason: String) : Lookup<Nothing>
}

/**
 * Serves callers on [host], for worker set [set].
 *
 * A workflow of more than [maxTasksPerWorkflow] tasks is refused, as its progress doesn't fit into one
 * record. [isStoreUnavailable] returns whether calls of the store are expected to fail, and [owner] returns
 * the scheduler if this host owns the set. The records of a workflow are kept for [statusMillis] after its
 * end at least; [clock] tells for how long this host relies on having created it.
 */
class Gateway internal constructor(
    private val store: TransactionalStore,
    private val host: String,
    private val set: Int,
    private val log: EventLog,
    private val meters: WorkflowMeters = WorkflowMeters(),
    private val maxTasksPerWorkflow: Long = WorkflowSettings.DEFAULT_MAX_TASKS_PER_WORKFLOW,
    private val statusMillis: Long = SchedulerSettings.DEFAULT_STATUS_MILLIS,
    private val clock: MonotonicClock = MonotonicClock.system(),
    private val isStoreUnavailable: () -> Boolean = { false },
    private val owner: () -> SchedulerLoop?
) {
    /** When workflows were created on this host, by their IDs. */
    private val createdMillis = boundedIdMap<Long>()

    /** IDs of workflows submitted here with an unknown outcome: a write may still take effect. */
    private val undecidedIds = Collections.newSetFromMap(boundedIdMap<Boolean>())

    /** Submits [workflow] and returns the outcome. */
    fun accept(workflow: Workflow): Acceptance {
        val record = AcceptanceRecord(attemptId(), workflow)
        val attempted = when {
            workflow.totalTasks > maxTasksPerWorkflow -> refuseTooLarge(workflow)

            isStoreUnavailable() ->
                Acceptance.Refused("the store does not answer", RETRY_AFTER_SECONDS)

            else -> create(workflow.id, record, StoreEntry.ABSENT)
        }
        val outcome = consideringEarlierAttempts(workflow.id, attempted)
        log.add(
            "job-submitted",
            "id" to workflow.id,
            "queue" to workflow.queue.name,
            "steps" to workflow.steps.size,
            "tasks" to workflow.totalTasks,
            "outcome" to outcome
        )
        meters.countSubmission(outcome)
        when (outcome) {
            is Acceptance.Unknown -> undecidedIds += workflow.id
            Acceptance.Accepted, is Acceptance.Refused -> Unit
        }
        return outcome
    }

    /**
     * Returns [attempted], or `Unknown` in place of a refusal while an earlier attempt may still
     * take effect: callers take a refusal to cover all attempts.
     */
    private fun consideringEarlierAttempts(id: String, attempted: Acceptance): Acceptance {
        if (attempted !is Acceptance.Refused) return attempted
        if (attempted.isRuledOut || id !in undecidedIds) return attempted
        return Acceptance.Unknown("an earlier attempt is undecided; ${attempted.reason}")
    }

    /** Refuses [workflow], unless it was accepted before, when the limit was higher. */
    private fun refuseTooLarge(workflow: Workflow): Acceptance =
        when (val stored = exists(workflow.id)) {
            is Either.Left -> Acceptance.Unknown(stored.value.reason)

            is Either.Right -> if (stored.value) {
                Acceptance.Accepted
            } else {
                Acceptance.Refused(
                    "${workflow.totalTasks} tasks, at most $maxTasksPerWorkflow are allowed",
                    retryAfterSeconds = null
                )
            }
        }

    private fun attemptId() = "$host-${Random.nextLong().toULong().toString(ATTEMPT_ID_RADIX)}"

    private fun create(id: String, record: AcceptanceRecord, expected: Long): Acceptance {
        val conditions = mapOf(
            WorkflowKeys.job(id) to expected,
            WorkflowKeys.cancel(id) to StoreEntry.ABSENT
        )
        return when (val result = put(id, record, conditions)) {
            is Either.Left -> when (val error = result.value) {
                is StoreError.NotSent -> Acceptance.Refused(error.reason, RETRY_AFTER_SECONDS)
                is StoreError.AnswerLost -> resolveLostAnswer(id, error)
            }

            is Either.Right -> when (val commit = result.value) {
                is CommitResult.Applied -> {
                    createdMillis[id] = clock.nowMillis()
                    Acceptance.Accepted
                }

                is CommitResult.Conflict -> resolveConflict(id, record, commit.current)
                CommitResult.LeaseGone -> Acceptance.Unknown("the store named a lease")
            }
        }
    }

    /**
     * Accepts a workflow that is stored, refuses one that was cancelled before it was stored, and
     * overwrites a refusal marker.
     */
    private fun resolveConflict(
        id: String,
        record: AcceptanceRecord,
        current: Map<String, StoreEntry>
    ): Acceptance {
        val entry = current[WorkflowKeys.job(id)]
        val stored = entry?.let { decodeRecordOrNull<AcceptanceRecord>(it.value) }
        return when {
            stored?.workflow != null -> Acceptance.Accepted

            entry != null && stored == null -> Acceptance.Unknown("the record is unreadable")

            WorkflowKeys.cancel(id) in current ->
                Acceptance.Refused("the job was cancelled", null, isRuledOut = true)

            entry == null -> Acceptance.Unknown("the key changed twice")

            else -> create(id, record, entry.version)
        }
    }

    /**
     * Resolves a write whose answer was lost: reads the key back, and rules the write out if it has
     * not taken effect.
     */
    private fun resolveLostAnswer(id: String, lost: StoreError): Acceptance {
        if (isStoreUnavailable()) return Acceptance.Unknown(lost.reason)
        val key = WorkflowKeys.job(id)
        return when (val current = store.get(key)) {
            is Either.Left -> Acceptance.Unknown(lost.reason)

            is Either.Right -> if (holdsWorkflow(current.value)) {
                Acceptance.Accepted
            } else {
                ruleOut(id, current.value, lost)
            }
        }
    }

    /** Writes a refusal marker, which makes any outstanding write of the same key fail. */
    private fun ruleOut(id: String, current: StoreEntry?, lost: StoreError): Acceptance {
        val key = WorkflowKeys.job(id)
        val conditions = mapOf(key to (current?.version ?: StoreEntry.ABSENT))
        val result = put(id, AcceptanceRecord(attemptId()), conditions).getOrNull()
        val stored = (result as? CommitResult.Conflict)?.current?.get(key)
        return when {
            result is CommitResult.Applied ->
                Acceptance.Refused(
                    "the store did not answer",
                    RETRY_AFTER_SECONDS,
                    isRuledOut = true
                )

            holdsWorkflow(stored) -> Acceptance.Accepted

            else -> Acceptance.Unknown(lost.reason)
        }
    }

    private fun holdsWorkflow(entry: StoreEntry?) =
        entry?.let { decodeRecordOrNull<AcceptanceRecord>(it.value) }?.workflow != null

    private fun put(id: String, record: AcceptanceRecord, conditions: Map<String, Long>) =
        store.commit(
            StoreTransaction(
                conditions,
                listOf(StorePut(WorkflowKeys.job(id), encodeRecord(record)))
            )
        )

    /** Returns the status of the workflow [id]. */
    fun status(id: String): Lookup<WorkflowStatus> {
        owner()?.statusOrNull(id)?.let { return Lookup.Found(it) }
        if (isStoreUnavailable()) return Lookup.Unavailable("the store does not answer")
        val recorded = store.get(WorkflowKeys.progress(set, id)).map { entry ->
            entry?.let { decodeRecordOrNull<WorkflowProgress>(it.value) }?.status
        }
        val status = recorded.flatMap { known ->
            when {
                known != null -> Either.Right(known)
                isLatelyCreated(id) -> Either.Right(QUEUED)
                else -> exists(id).map { if (it) QUEUED else null }
            }
        }
        return when (status) {
            is Either.Left -> Lookup.Unavailable(status.value.reason)
            is Either.Right -> status.value?.let { Lookup.Found(it) } ?: Lookup.Absent
        }
    }

    /** Whether the workflow [id] was created here so lately that its records are still kept. */
    private fun isLatelyCreated(id: String): Boolean {
        val created = createdMillis[id] ?: return false
        return clock.nowMillis() - created < statusMillis
    }

    private fun exists(id: String): Either<StoreError, Boolean> =
        store.get(WorkflowKeys.job(id)).map(::holdsWorkflow)

    /**
     * Cancels the workflow [id], also one whose submission has not taken effect yet.
     *
     * The cancellation is written before the workflow is read: whatever is not stored by then can
     * no longer be.
     */
    fun cancel(id: String): Lookup<Unit> {
        val isKnown = isLatelyCreated(id) || owner()?.statusOrNull(id) != null
        val outcome = writeCancellation(id)
            .flatMap { if (isKnown) Either.Right(true) else exists(id) }
        log.add("job-cancel", "id" to id, "isKnown" to isKnown, "outcome" to outcome)
        return when (outcome) {
            is Either.Left -> Lookup.Unavailable(outcome.value.reason)
            is Either.Right -> if (outcome.value) Lookup.Found(Unit) else Lookup.Absent
        }
    }

    private fun writeCancellation(id: String): Either<StoreError, CommitResult> {
        val put = StorePut(WorkflowKeys.cancel(id), host)
        return store.commit(StoreTransaction(emptyMap(), listOf(put)))
            .onRight { owner()?.cancelWorkflow(id) }
    }

    /** Returns the number of accepted workflows of [queue] without a started task. */
    fun waitingCount(queue: String): Lookup<Int> {
        owner()?.waitingCountOrNull(queue)?.let { return Lookup.Found(it) }
        return when (val entry = store.get(WorkflowKeys.waiting(set), mayBeStale = true)) {
            is Either.Left -> Lookup.Unavailable(entry.value.reason)

            is Either.Right -> {
                val counts = entry.value?.let { decodeRecordOrNull<WaitingRecord>(it.value) }
                Lookup.Found(counts?.byQueue?.get(queue) ?: 0)
            }
        }
    }

    private fun <T> boundedIdMap(): MutableMap<String, T> = Collections.synchronizedMap(
        object : LinkedHashMap<String, T>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, T>) = size > MAX_REMEMBERED_IDS
        }
    )

    private companion object {
        const val ATTEMPT_ID_RADIX = 36

        /** The status of an accepted workflow of which no progress is recorded. */
        val QUEUED = WorkflowStatus(WorkflowPhase.QUEUED)

        /** Covers several minutes of one host's submissions. */
        const val MAX_REMEMBERED_IDS = 4_096

        /** The smallest value of the Retry-After header; most outages of the store are short. */
        const val RETRY_AFTER_SECONDS = 1
    }
}
