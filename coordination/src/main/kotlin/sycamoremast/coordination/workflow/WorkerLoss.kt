/** Losses of contact with workers, and the runs that may have caused them. */
package sycamoremast.coordination.workflow

/** A run that was exposed when its worker lost contact, [livedMillis] after its order. */
internal class ExposedRun(placement: Placement, val livedMillis: Long) {
    val task = placement.task
    val run = placement.run

    /** Whether it may be the cause, unless it is a suspect's that lived longer than earlier ones. */
    val isCredible = placement.hasReachedWorker &&
        task.crashHistory?.let { livedMillis <= it.trialMillis } ?: true
    val isOfSuspect = isCredible && task.crashHistory != null
}

/**
 * The loss of contact with worker [workerId] at [atMillis].
 *
 * It [isOfSuspect] if only a suspect could have caused it, as the worker had been up for a while. If
 * it [isAbrupt], a call was broken off or refused, as when the worker has ended; calls that are lost
 * time out.
 */
internal class WorkerLoss(
    val workerId: String,
    val atMillis: Long,
    val exposed: MutableList<ExposedRun>,
    val isAbrupt: Boolean,
    wasSettled: Boolean
) {
    /** Whether only runs of one workflow could have caused it. */
    val isAlone = exposed.distinctBy { it.task.step.workflow }.size == 1
    val isOfSuspect = isAlone && wasSettled && exposed.any { it.isOfSuspect }
    val crashes = LinkedHashMap<CrashedRun, OpenTask>()
    var isCounted = false
}
