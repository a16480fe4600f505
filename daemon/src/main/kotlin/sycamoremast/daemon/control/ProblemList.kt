/** The problems of all hosts, kept as one bounded document. */
package sycamoremast.daemon.control

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import sycamoremast.configuration.operator.ProblemView

/** Names a problem; it has at most one open report. */
internal data class ProblemKey(val kind: ProblemKind, val subject: String)

/** A wanted change of a problem's state. */
internal sealed interface ProblemChange {
    /** The problem exists, as [report] tells. */
    data class Raise(val report: ProblemView) : ProblemChange

    /** The problem no longer exists since [atMillis]. */
    data class Clear(val atMillis: Long) : ProblemChange
}

/** The open problems and the last ones cleared, oldest first. */
@Serializable
internal data class ProblemList(val problems: List<ProblemView> = emptyList()) {
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    /** Returns this list after [change] of the problem [key]. */
    fun with(key: ProblemKey, change: ProblemChange): ProblemList {
        val open = problems.find { it.clearedAtMillis == null && it.key() == key }
        return when (change) {
            is ProblemChange.Raise -> if (open == null) adding(change.report) else this
            is ProblemChange.Clear -> if (open == null) this else clearing(open, change.atMillis)
        }
    }

    private fun adding(report: ProblemView): ProblemList {
        if (problems.any { it.id == report.id }) return this
        return ProblemList(problems + report).bounded()
    }

    private fun clearing(open: ProblemView, atMillis: Long) = ProblemList(
        problems.map { if (it == open) it.copy(clearedAtMillis = atMillis) else it }
    ).bounded()

    private fun bounded(): ProblemList {
        val (open, cleared) = problems.partition { it.clearedAtMillis == null }
        val kept = open.takeLast(MAX_OPEN) + cleared.takeLast(MAX_CLEARED)
        return ProblemList(problems.filter { it in kept.toSet() })
    }

    companion object {
        /** The open problems that are kept. */
        const val MAX_OPEN = 500

        /** The cleared problems that are kept. */
        const val MAX_CLEARED = 200

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the list in [text], or null if it holds none. */
        fun parseOrNull(text: String): ProblemList? = try {
            FORMAT.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        }
    }
}

/** Returns the problem that this report is about. */
internal fun ProblemView.key(): ProblemKey? =
    ProblemKind.entries.find { it.name.lowercase() == kind }?.let { ProblemKey(it, subject) }
