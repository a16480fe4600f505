/**
 * Tells which tasks may start on workers that look unsound.
 *
 * A suspicion keeps tasks from failing, but holds them back as long as it lasts. A long-running task
 * loses nothing by a failure, so after a while any worker is better than none. Where all workers look
 * unsound that a task suits, its kind of work is as likely to blame, and no other task waits for them.
 */
package sycamoremast.coordination.workflow

internal class SuspectWorkers(private val fleet: Fleet, private val obstacles: PlacementObstacles) {
    private var suspects: List<FleetWorker>? = null

    /** Whether there is a sound worker, by service and required label. */
    private val hasSound = HashMap<Pair<String, String>, Boolean>()

    /** Begins a round of placement. */
    fun beginRound() {
        suspects = null
        hasSound.clear()
    }

    /** Returns the workers that look unsound. */
    fun all(nowMillis: Long): List<FleetWorker> {
        val known = suspects
        if (known != null) return known
        val found = fleet.workerList.filter { it.bars.suspicionOrNull(nowMillis) != null }
        suspects = found
        return found
    }

    /** Whether [task] has waited so long that a worker which looks unsound is better than none. */
    fun mayTake(task: OpenTask, nowMillis: Long): Boolean {
        if (all(nowMillis).isEmpty()) return false
        val spec = task.step.spec
        val since = if (spec.isLongRunning) task.offSinceMillis else task.waitingSinceMillis
        val isDue = since != null && nowMillis >= since + StartHold.LONGEST_SUSPICION_MILLIS
        return isDue && (spec.isLongRunning || !hasSound(task, nowMillis))
    }

    private fun hasSound(task: OpenTask, nowMillis: Long): Boolean {
        val service = task.step.workflow.queue.service
        return hasSound.getOrPut(service to task.step.spec.requiredLabel) {
            fleet.candidates(task.step.spec).any {
                it.listing.service == service &&
                    it.bars.suspicionOrNull(nowMillis) == null &&
                    obstacles.closedOrNull(it, nowMillis) == null
            }
        }
    }
}
