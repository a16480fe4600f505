/**
 * Tells which jobs are long-running.
 *
 * Their owner's lines say so. A job of which it isn't known is long-running if others of its queue
 * are, or appear in lines that are written about long-running tasks only.
 */
package sycamoremast.cli

internal class LongRunningJobs(events: List<HostEvent>) : (String) -> Boolean {
    private val queues = HashMap<String, String>()
    private val kinds = HashMap<String, Boolean>()
    private val longRunning: Set<String>

    init {
        for (event in events.filter { it.name == "workflow-known" || it.name == "job-submitted" }) {
            queues[event.id] = event.line.field("queue")
            event.line.field("longRunning").toBooleanStrictOrNull()?.let { kinds[event.id] = it }
        }
        val signs = events.filter { it.name in LONG_RUNNING_EVENTS }.map { jobOf(it.id) }
        longRunning = (signs + kinds.filterValues { it }.keys).mapNotNull(queues::get).toSet()
    }

    override fun invoke(id: String): Boolean {
        val job = jobOf(id)
        return kinds[job] ?: (queues[job] in longRunning)
    }

    private companion object {
        val LONG_RUNNING_EVENTS = setOf("task-off", "room-reserved", "run-moved")
    }
}

/** Returns the ID of the job of the task [id]. */
internal fun jobOf(id: String) = id.substringBefore('.')
