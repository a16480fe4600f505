/** The problems reported by all hosts, stored as one bounded document. */
package sycamoremast.daemon.control

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import sycamoremast.configuration.operator.ProblemView

/** Identifies a problem; at most one report per key is open. */
internal data class ProblemKey(val kind: ProblemKind, val subject: String)

/** A requested change to the state of a problem. */
internal sealed interface ProblemChange {
    /** Opens the problem with [report]. */
    data class Raise(val report: ProblemView) : ProblemChange

    /** Marks the problem as cleared at [atMillis]. */
    data class Clear(val atMillis: Long) : ProblemChange
}

/** The open problems and the most recently cleared ones, oldest first. */
@Serializable
internal data class ProblemList(val problems: List<ProblemView> = emptyList()) {
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    /** Returns this list with [change] applied to the problem [key]. */
    fun withChange(key: ProblemKey, change: ProblemChange): ProblemList {
        val open = problems.find { it.clearedAtMillis == null && it.key() == key }
        return when (change) {
            is ProblemChange.Raise -> if (open == null) withRaised(change.report) else this
            is ProblemChange.Clear -> if (open == null) this else withCleared(open, change.atMillis)
        }
    }

    private fun withRaised(report: ProblemView): ProblemList {
        if (problems.any { it.id == report.id }) return this
        return ProblemList(problems + report).trimmed()
    }

    private fun withCleared(open: ProblemView, atMillis: Long) = ProblemList(
        problems.map { if (it == open) it.copy(clearedAtMillis = atMillis) else it }
    ).trimmed()

    private fun trimmed(): ProblemList {
        val (open, cleared) = problems.partition { it.clearedAtMillis == null }
        val kept = open.takeLast(MAX_OPEN) + cleared.takeLast(MAX_CLEARED)
        return ProblemList(problems.filter { it in kept.toSet() })
    }

    companion object {
        /** The maximum number of open problems; the newest are kept. */
        const val MAX_OPEN = 500

        /** The maximum number of cleared problems; the newest are kept. */
        const val MAX_CLEARED = 200

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the list parsed from [text], or null if [text] is malformed. */
        fun parseOrNull(text: String): ProblemList? = try {
            FORMAT.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        }
    }
}

/** Returns the key of the reported problem, or null if its kind is unknown to this version. */
internal fun ProblemView.key(): ProblemKey? =
    ProblemKind.entries.find { it.name.lowercase() == kind }?.let { ProblemKey(it, subject) }
