/**
 * The command of a stand-in task, which sets its behaviour.
 *
 * The first word is the kind of task; `name=value` words may follow:
 * `usagePercent=150 runtimePercent=300 checkpointMillis=200`.
 */
package sycamoremast.standins

/** The kinds of task, which differ in their interference and in whether they fail. */
enum class TaskKind { ORDINARY, NOISY, SENSITIVE, FAILING }

/** A parsed command; the percentages refer to the values that the start order declares. */
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

        /** Parses [text]; unknown kinds count as ordinary, unreadable numbers as the defaults. */
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

/** The slowdown of one task by another on the same worker, as a factor of its run time. */
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
