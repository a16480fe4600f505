/** What the rest of the daemon tells about outcomes that were missed. */
package sycamoremast.daemon.control

/** Takes reports of missed outcomes; a repeated report of the same problem changes nothing. */
interface ProblemReporter {
    /** Reports that the outcome of [subject] was missed, as [evidence] shows. */
    fun raise(kind: ProblemKind, subject: String, evidence: String)

    /** Reports that the outcome of [subject] is as it should be again. */
    fun clear(kind: ProblemKind, subject: String)
}

/** How an outcome was missed. */
enum class ProblemKind { LATE, LOST, DOUBLED, UNKNOWN }
