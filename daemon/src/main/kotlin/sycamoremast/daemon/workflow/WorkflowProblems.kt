/**
 * Reports workflows that were given up through no fault that their callers could expect.
 *
 * The reports are read from the recorded progress when they are asked for, so every host returns
 * the same ones and they outlast owners. A workflow is a problem if workers crashed under one of
 * its tasks: that it is to blame is the scheduler's conclusion, and the workers and whatever ran
 * beside it were harmed. A workflow whose tasks failed as often as its queue allows ended as
 * promised; its caller learns of it from the state.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.left
import java.util.concurrent.Semaphore
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.FailureReason
import sycamoremast.coordination.workflow.WorkflowFailure
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.daemon.log.EventLog

/**
 * Reads the problems of worker set [set] from [store].
 *
 * [isStoreUnavailable] returns whether calls of the store are expected to fail.
 */
class WorkflowProblems internal constructor(
    private val store: TransactionalStore,
    private val set: Int,
    private val log: EventLog,
    private val isStoreUnavailable: () -> Boolean = { false }
) {
    /** Limits the calls of the store and the threads that wait for them. */
    private val reading = Semaphore(1)

    /** Returns the latest problems, newest first; they may be some seconds old. */
    fun list(): Either<ErrorView, List<ProblemView>> {
        if (isStoreUnavailable()) return error(STEP, "store", "the store does not answer").left()
        if (!reading.tryAcquire()) return error(STEP, "this host", "already reading them").left()
        return try {
            store.list(WorkflowKeys.progress(set), mayBeStale = true)
                .map(::problems).mapLeft { error(it.step, it.peer, it.reason) }
        } finally {
            reading.release()
        }
    }

    private fun problems(listing: StoreListing): List<ProblemView> {
        val (readable, unreadable) = listing.entries
            .map { it to decodeRecordOrNull<WorkflowProgress>(it.value) }
            .partition { (_, progress) -> progress != null }
        if (unreadable.isNotEmpty()) {
            log.add(
                "progress-unreadable",
                "records" to unreadable.size,
                "key" to unreadable.first().first.key
            )
        }
        return readable.mapNotNull { (entry, progress) ->
            progress?.let { problemOrNull(entry, it) }
        }
            .sortedByDescending { it.raisedAtMillis }
            .take(MAX_PROBLEMS)
    }

    private fun problemOrNull(entry: StoreEntry, progress: WorkflowProgress): ProblemView? {
        val failure = progress.failure ?: return null
        if (failure.reason != FailureReason.WORKERS_CRASHED) return null
        val id = entry.key.lastSegment()
        return ProblemView(
            id = "$KIND/$id",
            kind = KIND,
            subject = id,
            evidence = describe(failure),
            raisedBy = "owner of worker set $set",
            raisedAtMillis = progress.endedUnixMillis
        )
    }

    private fun describe(failure: WorkflowFailure): String {
        val isComplete = failure.runs.size == failure.runCount
        val runs = if (isComplete) "run@worker" else "the latest, run@worker"
        return "workers crashed in ${failure.runCount} runs of task ${failure.task} " +
            "($runs: ${failure.runs.joinToString()})"
    }

    private fun error(step: String, peer: String, reason: String) =
        ErrorView(step, peer, reason, retryAfterMillis = RETRY_AFTER_MILLIS)

    private companion object {
        const val KIND = "given_up"
        const val STEP = "list-problems"
        const val MAX_PROBLEMS = 100
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
