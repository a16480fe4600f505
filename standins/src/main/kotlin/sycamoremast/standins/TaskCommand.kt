/**
 * What a stand-in task's command means.
 *
 * The first word is the task's kind; `name=value` words may follow:
 * `usagePercent=150 runtimePercent=300 checkpointMillis=200`.
 */
package sycamoremast.standins

/** The kinds of task that the stand-in worker tells apart. */
enum class TaskKind { ORDINARY, NOISY, SENSITIVE, FAILING }

/** A parsed command; the percentages are of what the start order declares. */
internal data class TaskCommand(
    val kind: TaskKind,
    val usagePercent: Long,
    val runtimePercent: Long,
    val checkpointMillis: Long
) {
    companion object {
        private const val DEFAULT_USAGE_PERCENT = 90L
        private const val FULL_PERCENT = 100L
        private const val DEFAULT_CHECKPOINT_MILLIS = 500L

        /** Returns the meaning of [text]; an unknown kind is an ordinary one. */
        fun parse(text: String): TaskCommand {
            val words = text.split(' ').filter { it.isNotEmpty() }
            val numbers = words.filter { '=' in it }
                .associate { it.substringBefore('=') to it.substringAfter('=').toLongOrNull() }
            val kind = TaskKind.entries.find { it.name.equals(words.firstOrNull(), true) }
            return TaskCommand(
                kind ?: TaskKind.ORDINARY,
                numbers["usagePercent"] ?: DEFAULT_USAGE_PERCENT,
                numbers["runtimePercent"] ?: FULL_PERCENT,
                numbers["checkpointMillis"] ?: DEFAULT_CHECKPOINT_MILLIS
            )
        }
    }
}

/** Slowdown of one kind of task by another on the same worker, as a factor of its run time. */
internal object Interference {
    private const val NOISY_ON_SENSITIVE = 3.0
    private const val NOISY_ON_OTHERS = 1.5
    private const val ORDINARY_ON_SENSITIVE = 1.1

    fun slowdown(of: TaskKind, by: TaskKind): Double = when {
        by == TaskKind.NOISY && of == TaskKind.SENSITIVE -> NOISY_ON_SENSITIVE
        by == TaskKind.NOISY -> NOISY_ON_OTHERS
        of == TaskKind.SENSITIVE -> ORDINARY_ON_SENSITIVE
        else -> 1.0
    }
}
