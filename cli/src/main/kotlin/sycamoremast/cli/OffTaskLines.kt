/** Finds the lines that tell what holds long-running tasks back which are still off. */
package sycamoremast.cli

/**
 * The last `task-off` line of each task in [lines], in order of time, that is off at their end.
 *
 * A worker's answer that a start was carried out isn't logged, so a task is taken to run once it is
 * ordered, unless that start is known to have failed. A run on a worker that answers again goes on.
 */
internal class OffTaskLines(lines: List<LogLine>) {
    private class Order(val run: String, val off: LogLine)

    private val off = HashMap<String, LogLine>()
    private val ordered = HashMap<String, Order>()

    init {
        lines.forEach(::process)
    }

    /** The lines, in order of time. */
    val all: List<LogLine> = lines.filter { line -> off[line.field("id")] === line }

    private fun process(line: LogLine) {
        val id = line.field("id")
        when (line.event) {
            "task-off" -> {
                off[id] = line
                ordered -= id
            }

            "run-ordered" -> {
                val last = off.remove(id) ?: ordered[id]?.off ?: return
                ordered[id] = Order(line.field("run"), last)
            }

            "start-rejected", "start-unanswered" -> {
                val order = ordered[id]?.takeIf { it.run == line.field("run") } ?: return
                off[id] = order.off
                ordered -= id
            }

            "run-adopted", "run-pace", "run-moved" -> forget(id)

            // The owner takes the run for lost only as its worker doesn't answer.
            "worker-reachable" -> off.values.removeIf { line ->
                line.field("heldBy") == "UNREACHABLE" && line.field("place") == id
            }

            // An end without this field is of a run that the owner didn't know.
            "run-ended" -> if (line.field("ranMillis").isNotEmpty()) forget(id)
        }
    }

    private fun forget(id: String) {
        off -= id
        ordered -= id
    }
}
