/** Tells from a line of an owner what held a long-running task back. */
package sycamoremast.cli

/**
 * The [part] of the scheduler that held a task back, or why none did.
 *
 * @property hasRoomElsewhere whether the part held the task off some workers, and nothing off others
 */
internal data class TaskHold(val part: String, val hasRoomElsewhere: Boolean) {
    companion object {
        private const val NOT_CHOSEN = "not chosen"
        private const val NO_SUITABLE_WORKER = "no suitable worker"

        /** Returns what the `task-off` event in [line] names. */
        fun of(line: LogLine): TaskHold {
            val hasRoom = (line.field("suitableWorkers").toIntOrNull() ?: 0) > 0
            val ofTask = line.field("heldBy")
            val ofWorkers = largestOrNull(line.field("workersHeldBy"))
            return when {
                ofTask.isNotEmpty() -> TaskHold(ofTask, hasRoomElsewhere = false)
                ofWorkers != null -> TaskHold(ofWorkers, hasRoomElsewhere = hasRoom)
                hasRoom -> TaskHold(NOT_CHOSEN, hasRoomElsewhere = false)
                else -> TaskHold(NO_SUITABLE_WORKER, hasRoomElsewhere = false)
            }
        }

        /** Returns the hold of the most workers in [holds], `HOLD:workers` or more each, or null. */
        private fun largestOrNull(holds: String): String? =
            holds.split(',').filter { it.isNotEmpty() }.map { it.split(':') }
                .maxByOrNull { it.getOrNull(1)?.toIntOrNull() ?: 0 }?.first()
    }
}
