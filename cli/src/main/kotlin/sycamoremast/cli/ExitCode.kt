/** The exit codes of the tool. */
package sycamoremast.cli

/** The exit codes, which are a stable interface for scripts. */
internal enum class ExitCode(val code: Int, val meaning: String) {
    OK(code = 0, meaning = "done"),
    FAILED(code = 1, meaning = "a daemon did not carry out the call"),
    INVALID(code = 2, meaning = "wrong usage, or the configuration has errors"),
    LOST_RACE(code = 3, meaning = "another change was accepted first"),
    UNREACHABLE(code = 4, meaning = "no daemon could be reached"),
    NOT_CONFIRMED(code = 5, meaning = "accepted, but not confirmed on every host"),
    OUTCOME_UNKNOWN(code = 6, meaning = "the change may or may not have taken effect");

    companion object {
        /** Returns the codes and their meanings as one sentence for the help text. */
        fun table(): String =
            "Exit codes: " + entries.joinToString("; ") { "${it.code} ${it.meaning}" } + "."
    }
}
