/**
 * Callers whose workflows end and are forgotten within a simulation, and checks of what the store
 * keeps for them.
 *
 * Callers repeat submissions, cancel workflows before or after they begin, and use the ID of a
 * cancelled one again once it is forgotten. A caller that asks for a state gets what the store
 * tells: the recorded phase, or that the workflow is queued if there is only a job. The state of one
 * that has ended has to be known for a time from when callers could see it first.
 */
package sycamoremast.coordination.workflow

import kotlin.random.Random

/** Submits workflows that [newWorkflow] makes, by the seed of [random], until [endMillis]. */
internal class ForgettingLoad(
    private val time: VirtualTime,
    private val store: ModelStore,
    private val random: Random,
    private val endMillis: Long,
    private val newWorkflow: (id: String) -> Workflow
) {
    private val acceptedMillis = HashMap<String, Long>()
    private val endedMillis = HashMap<String, Long>()
    private val ends = HashMap<String, WorkflowPhase>()

    /** The IDs that were cancelled right after they were accepted, so that they may be used again. */
    private val cancelledAtOnce = HashSet<String>()
    val violations = ArrayList<Violation>()

    /** How many workflows were forgotten. */
    var forgotten = 0
        private set

    /** How many IDs of forgotten workflows were used again. */
    var usedAgain = 0
        private set

    fun begin() {
        store.onDeleted = ::checkDeletion
        for (i in 0 until WORKFLOWS) {
            val atMillis = random.nextLong(endMillis)
            time.at(atMillis) { submit("kept$i") }
            time.at(atMillis + random.nextLong(1, LONGEST_REPEAT_MILLIS)) { repeat("kept$i") }
            if (random.nextInt(3) == 0) {
                time.at(atMillis + random.nextLong(MAX_CANCEL_MILLIS)) { cancel("kept$i") }
            }
        }
        for (i in 0 until CANCELLED_WORKFLOWS) {
            time.at(random.nextLong(endMillis)) { submitAndCancel("cancelled$i") }
        }
        observe()
    }

    private fun submit(id: String): Boolean {
        if (!store.isUp || id in store.jobs || id in store.cancels) return false
        store.accept(newWorkflow(id))
        acceptedMillis[id] = time.now
        return true
    }

    /** A submission arrives again, which must find the first one if that was accepted. */
    private fun repeat(id: String) {
        if (id !in acceptedMillis) return
        if (submit(id)) violate("accepted twice", id)
    }

    private fun cancel(id: String) {
        if (!store.isUp) return
        store.cancel(id)
    }

    private fun submitAndCancel(id: String) {
        if (!submit(id)) return
        cancelledAtOnce += id
        cancel(id)
        useAgain(id)
    }

    private fun useAgain(id: String) {
        if (time.now > endMillis) return
        if (id in store.jobs || id in store.cancels || !store.isUp) {
            time.at(time.now + REUSE_POLL_MILLIS) { useAgain(id) }
            return
        }
        ends -= id
        endedMillis -= id
        if (submit(id)) usedAgain++
    }

    private fun checkDeletion(id: String) {
        if (store.progress[id]?.phase?.isFinal != true) return violate("deleted before its end", id)
        val shownMillis = endedMillis[id] ?: return violate("deleted before its end was shown", id)
        if (time.now < shownMillis + STATUS_MILLIS) violate("deleted too early", id)
        forgotten++
    }

    /** Asks for the states of all workflows that were accepted, those of other callers included. */
    private fun observe() {
        for (id in acceptedMillis.keys + store.progress.keys) {
            val phase = store.progress[id]?.phase
            val end = ends[id]
            val isDue = endedMillis[id]?.let { time.now < it + STATUS_MILLIS } ?: true
            if (isDue && id !in store.jobs) violate("isn't known", id)
            if (id in store.jobs && end != null && phase != end) violate("was $end", id)
            if (phase?.isFinal == true && end == null) {
                ends[id] = phase
                endedMillis[id] = time.now
            }
        }
        if (time.now < endMillis) time.at(time.now + OBSERVE_MILLIS) { observe() }
    }

    private fun violate(kind: String, id: String) {
        violations += Violation(kind, TaskName(id, 0, 0, 0), time.now)
    }

    companion object {
        /** How long the state of a workflow has to be known; the runs of a task are shorter. */
        const val STATUS_MILLIS = 3_000L
        private const val WORKFLOWS = 60
        private const val CANCELLED_WORKFLOWS = 12
        private const val LONGEST_REPEAT_MILLIS = 3_000L
        private const val MAX_CANCEL_MILLIS = 5_000L
        private const val REUSE_POLL_MILLIS = 10L
        private const val OBSERVE_MILLIS = 50L
    }
}
