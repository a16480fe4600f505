/**
 * The latest losses of contact with workers, which tell whether the fleet has trouble of its own.
 *
 * A rack, a zone or a cut takes several workers at about the same time, also those on which nothing
 * could have caused a crash.
 */
package sycamoremast.coordination.workflow

internal class LossHistory(private val fleet: Fleet) {
    private val losses = ArrayList<WorkerLoss>()

    fun add(loss: WorkerLoss) {
        losses += loss
    }

    /** Forgets [loss], after which the worker has answered. */
    fun remove(loss: WorkerLoss) {
        losses -= loss
    }

    fun expire(nowMillis: Long) {
        losses.removeAll { it.atMillis < nowMillis - RETENTION_MILLIS }
    }

    /**
     * Whether workers other than [exceptId] have lost contact during [period] for reasons of their
     * own. Only losses for which [isRelevant] returns true count.
     *
     * A few losses may be crashes by suspects, and fewer by tasks that were not suspect yet.
     */
    fun showsTrouble(
        period: LongRange,
        exceptId: String? = null,
        isRelevant: (WorkerLoss) -> Boolean = { true }
    ): Boolean {
        val (ofSuspects, others) = losses
            .filter { it.workerId != exceptId && it.atMillis in period && isRelevant(it) }
            .partition { it.isOfSuspect }
        return others.any { it.exposed.isEmpty() } ||
            others.size > fleet.workers.size / WORKERS_PER_FIRST_CRASH ||
            ofSuspects.size > fleet.workers.size / WORKERS_PER_SUSPECT_CRASH
    }

    private companion object {
        /** Longer than any period that is looked back on. */
        const val RETENTION_MILLIS = 10_000L

        /** One in so many workers may be lost to tasks that were not suspect yet, or to suspects. */
        const val WORKERS_PER_FIRST_CRASH = 32
        const val WORKERS_PER_SUSPECT_CRASH = 8
    }
}
