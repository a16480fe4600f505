/** The interface through which the daemon reports problems. */
package sycamoremast.daemon.control

/** Accepts reports of problems; reporting an open problem again has no effect. */
interface ProblemReporter {
    /** Reports a problem of [kind] with [subject]; [evidence] describes what was observed. */
    fun raise(kind: ProblemKind, subject: String, evidence: String)

    /** Reports that [subject] no longer has a problem of [kind]. */
    fun clear(kind: ProblemKind, subject: String)
}

/** The way in which the outcome of a subject differs from the promised one. */
enum class ProblemKind { LATE, LOST, DOUBLED, UNKNOWN }
