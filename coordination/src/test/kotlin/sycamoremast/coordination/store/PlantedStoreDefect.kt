/** Planted defects in the handling of the key-value service's answers. */
package sycamoremast.coordination.store

import arrow.core.Either
import arrow.core.right
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome

internal enum class PlantedStoreDefect(val text: String) {
    LOST_ANSWER_TAKEN_AS_NOT_ACCEPTED("a write whose answer was lost is taken as not accepted"),
    LOST_ANSWER_TAKEN_AS_ACCEPTED("a write whose answer was lost is taken as accepted"),
    CONFLICT_TAKEN_AS_ACCEPTED("a write that lost a race is taken as accepted"),
    WRITE_WITHOUT_COMPARISON("a write does not compare the document's version");

    /** Returns [store] with this defect. */
    fun plantedIn(store: KeyValueStore): KeyValueStore = object : KeyValueStore by store {
        override fun compareAndSwap(key: String, expected: Long, value: String, lease: LeaseId?) =
            altered(store.compareAndSwap(key, expectedOf(store, key, expected), value, lease))
    }

    private fun expectedOf(store: KeyValueStore, key: String, expected: Long): Long {
        if (this != WRITE_WITHOUT_COMPARISON) return expected
        return store.get(key).fold({ expected }, { it?.version ?: StoreEntry.ABSENT })
    }

    private fun altered(result: Either<StoreError, SwapOutcome>): Either<StoreError, SwapOutcome> {
        val lost = (result as? Either.Left)?.value as? StoreError.AnswerLost
        val conflict = (result as? Either.Right)?.value as? SwapOutcome.Conflict
        return when {
            this == LOST_ANSWER_TAKEN_AS_NOT_ACCEPTED && lost != null ->
                Either.Left(StoreError.NotSent(lost.step, lost.peer, lost.reason))

            this == LOST_ANSWER_TAKEN_AS_ACCEPTED && lost != null -> APPLIED

            this == CONFLICT_TAKEN_AS_ACCEPTED && conflict != null -> APPLIED

            else -> result
        }
    }

    private companion object {
        val APPLIED = SwapOutcome.Applied(1).right()
    }
}
