/**
 * The commit of one group of changes at a time.
 *
 * The group is applied to the current document and written by compare-and-swap; if the answer is
 * lost, the outcome is resolved by reading the document back.
 */
package sycamoremast.coordination.store

import arrow.core.Either
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome

/** Writes groups of changes to the document at [key]; not thread-safe. */
internal class DocumentSwapper(
    private val store: KeyValueStore,
    private val key: String,
    private val calls: BudgetedCalls,
    private val limits: WriterLimits,
    private val writerId: String
) {
    private var cached: Base? = null
    private var sequence = 0L

    fun read(): Either<StoreError, VersionedDocument?> {
        val attempts = calls.begin()
        while (true) {
            if (!attempts.acquire()) return Either.Left(StoreError.NotSent("read", "", OVER_BUDGET))
            val answer = store.get(key)
            if (answer is Either.Right || !attempts.backOff()) {
                return answer.map { entry ->
                    entry?.let {
                        VersionedDocument(StoredDocument.parse(it.value).body, it.version)
                    }
                }
            }
        }
    }

    fun commit(group: List<PendingChange<*>>) {
        var result: CommitOutcome<Nothing> = INTERRUPTED
        try {
            result = commitGroup(group, calls.begin())
        } finally {
            if (result !is CommitOutcome.Committed) cached = null
            group.forEach { it.complete(result) }
        }
    }

    private fun commitGroup(
        group: List<PendingChange<*>>,
        attempts: BudgetedCalls.Attempts
    ): CommitOutcome<Nothing> {
        while (true) {
            val base = cached ?: when (val found = readBase(attempts)) {
                is Either.Left -> return found.value
                is Either.Right -> found.value
            }
            val body = group.fold(base.body) { current, change ->
                change.apply(current, limits.maxBytes)
            }
            if (body == null || body == base.body) {
                cached = null
                if (base.isFresh) return CommitOutcome.Committed(base.version)
                continue
            }
            val written = CasWrite(base, base.next(writerId, ++sequence, body), attempts).run()
            if (written != null) return written
        }
    }

    private fun readBase(attempts: BudgetedCalls.Attempts): Either<CommitOutcome<Nothing>, Base> {
        while (true) {
            if (!attempts.acquire()) return Either.Left(notCommitted("read", "", OVER_BUDGET))
            when (val answer = store.get(key)) {
                is Either.Left -> if (!attempts.backOff()) {
                    return Either.Left(answer.value.notCommitted())
                }

                is Either.Right -> return decode(answer.value)
            }
        }
    }

    private fun decode(entry: StoreEntry?): Either<CommitOutcome<Nothing>, Base> {
        if (entry == null) return Either.Right(cache(Base(StoreEntry.ABSENT, null, true)))
        val document = StoredDocument.parseOrNull(entry.value)
            ?: return Either.Left(notCommitted("decode", "", "$key holds no document"))
        return Either.Right(cache(Base(entry.version, document, true)))
    }

    private fun cache(base: Base): Base {
        cached = base
        return base
    }

    /** A compare-and-swap of [base] for [next], with all its attempts. */
    private inner class CasWrite(
        private val base: Base,
        private val next: StoredDocument,
        private val attempts: BudgetedCalls.Attempts
    ) {
        private val text = next.print()
        private var mayHaveTakenEffect = false

        /** Returns the outcome, or null if the changes have to be applied to a newer document. */
        fun run(): CommitOutcome<Nothing>? {
            while (true) {
                if (!attempts.acquire()) return failed("compare-and-swap", "", OVER_BUDGET)
                val step = when (val answer = store.compareAndSwap(key, base.version, text)) {
                    is Either.Left -> afterError(answer.value)
                    is Either.Right -> afterAnswer(answer.value)
                }
                when (step) {
                    Step.SendAgain -> Unit
                    Step.ApplyAgain -> return null
                    is Step.Ended -> return step.outcome
                }
            }
        }

        private fun afterAnswer(answer: SwapOutcome): Step = when (answer) {
            is SwapOutcome.Applied -> applied(answer.version)
            is SwapOutcome.Conflict -> resolveConflict(answer.current)
        }

        private fun resolveConflict(current: StoreEntry?) =
            if (mayHaveTakenEffect) resolve(current) else superseded(current)

        private fun afterError(error: StoreError): Step {
            if (error is StoreError.AnswerLost) mayHaveTakenEffect = true
            if (!attempts.backOff()) return Step.Ended(failed(error))
            return if (mayHaveTakenEffect) readBack() else Step.SendAgain
        }

        private fun readBack(): Step {
            while (true) {
                if (!attempts.acquire()) return Step.Ended(failed("read back", "", OVER_BUDGET))
                when (val answer = store.get(key)) {
                    is Either.Left ->
                        if (!attempts.backOff()) return Step.Ended(failed(answer.value))

                    is Either.Right -> return resolve(answer.value)
                }
            }
        }

        /**
         * Resolves a write that may have taken effect, given the [current] entry.
         *
         * A document still holds the sequence number of a write that took effect after up to
         * [StoredDocument.MAX_WRITERS] commits since [base], that write included. Until then, a
         * missing number shows that the write did not take effect.
         */
        private fun resolve(current: StoreEntry?): Step {
            if ((current?.version ?: StoreEntry.ABSENT) == base.version) return Step.SendAgain
            val document = current?.let { StoredDocument.parseOrNull(it.value) }
                ?: return Step.Ended(failed("resolve", "", "the document is gone"))
            val written = document.commits - base.commits
            return when {
                document.writers[writerId] == sequence -> applied(current.version, document)
                written in 1..StoredDocument.MAX_WRITERS -> superseded(current)
                else -> Step.Ended(failed("resolve", "", "the writer's mark was dropped"))
            }
        }

        private fun superseded(current: StoreEntry?): Step = when (val newer = decode(current)) {
            is Either.Left -> Step.Ended(newer.value)
            is Either.Right -> if (attempts.backOff()) Step.ApplyAgain else Step.Ended(CONTENDED)
        }

        private fun applied(version: Long, document: StoredDocument = next): Step {
            cached = Base(version, document, false)
            return Step.Ended(CommitOutcome.Committed(version))
        }

        private fun failed(error: StoreError) = failed(error.step, error.peer, error.reason)

        private fun failed(step: String, peer: String, reason: String) = if (mayHaveTakenEffect) {
            CommitOutcome.Unknown(step, peer, reason)
        } else {
            notCommitted(step, peer, reason)
        }
    }

    /** The step that follows an attempt to write. */
    private sealed interface Step {
        /** Send the same write again, against the same version. */
        data object SendAgain : Step

        /** Apply the changes to a newer document. */
        data object ApplyAgain : Step

        /** Return [outcome]. */
        data class Ended(val outcome: CommitOutcome<Nothing>) : Step
    }

    /** The document that a write is based on; [isFresh] if it was read just now, not cached. */
    private class Base(val version: Long, val document: StoredDocument?, val isFresh: Boolean) {
        val body = document?.body
        val commits = document?.commits ?: 0

        fun next(writer: String, sequence: Long, body: String) =
            (document ?: StoredDocument(body = "")).next(writer, sequence, body)
    }

    private companion object {
        const val OVER_BUDGET = "the budget of calls allowed none in time"
        val INTERRUPTED =
            CommitOutcome.Unknown("commit", "", "the writing thread was interrupted")
        val CONTENDED =
            CommitOutcome.NotCommitted("compare-and-swap", "", "other writers were always first")

        fun notCommitted(step: String, peer: String, reason: String) =
            CommitOutcome.NotCommitted(step, peer, reason)

        fun StoreError.notCommitted() = CommitOutcome.NotCommitted(step, peer, reason)
    }
}

/** Limits the calls of a writer in rate and time. */
internal class BudgetedCalls(
    private val budget: CallBudget,
    private val limits: WriterLimits,
    private val timing: Timing
) {
    /** Returns the attempts of an operation that begins now. */
    fun begin() = Attempts(timing.clock.nowMillis() + limits.commitTimeout.inWholeMilliseconds)

    /** The attempts of one operation, which share a deadline. */
    inner class Attempts(private val deadlineMillis: Long) {
        private var failedAttempts = 0

        /** Waits for the budget; returns whether it allowed a call before the deadline. */
        fun acquire(): Boolean = budget.take(remainingMillis(), timing.pause)

        /** Waits before the next attempt; returns false at once if the deadline is too near. */
        fun backOff(): Boolean {
            val delay = limits.backoff.delayMillis(++failedAttempts, timing.random)
            if (delay >= remainingMillis()) return false
            timing.pause.pause(delay)
            return true
        }

        private fun remainingMillis() = deadlineMillis - timing.clock.nowMillis()
    }
}
