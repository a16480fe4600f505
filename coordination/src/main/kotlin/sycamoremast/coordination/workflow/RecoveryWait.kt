/**
 * Logs what holds back the tasks of recovered workflows at the beginning of a term.
 *
 * They start only once every worker on which an earlier owner may have started them has answered or
 * its lease has certainly lapsed. For a long-running task with a recorded place, that is one worker.
 */
package sycamoremast.coordination.workflow

internal class RecoveryWait(private val fleet: Fleet, private val places: TaskPlaces) {
    private var beganMillis: Long? = null
    private var isLogged = false
    private var isOver = false

    /** Logs the wait once if it is long, and its end. */
    fun step(nowMillis: Long) {
        if (isOver) return
        val began = beganMillis ?: nowMillis.also { beganMillis = it }
        if (fleet.isFleetReconciled()) {
            isOver = true
            log("recovery-complete", "waitedMillis" to nowMillis - began)
        } else if (!isLogged && nowMillis >= began + LONG_WAIT_MILLIS) {
            isLogged = true
            val missing = fleet.workers.values.filter { !it.isAccountedFor }
            log(
                "recovery-waits",
                "workers" to missing.size,
                "leaseLeftMillis" to missing.maxOf { it.lease.remainingMillis(nowMillis) },
                "first" to missing.take(MAX_NAMED).joinToString(",") { it.id },
                "longRunningTasks" to heldTasks()
            )
        }
    }

    /** Returns the number of long-running tasks that wait for these workers. */
    private fun heldTasks(): Int = fleet.openWorkflows.filter { it.isLongRunning }
        .flatMap { it.steps() }.filter { it.spec.isLongRunning }
        .sumOf { step -> step.waiting.count { !places.isFree(it) } }

    private fun log(event: String, vararg fields: Pair<String, Any?>) {
        val held = fleet.openWorkflows.count { it.isRecovered }
        fleet.log(event, "epoch-${fleet.epoch}", *fields, "recoveredWorkflows" to held)
    }

    private companion object {
        /** Longer than workers that are within reach take to answer. */
        const val LONG_WAIT_MILLIS = 300L
        const val MAX_NAMED = 8
    }
}
