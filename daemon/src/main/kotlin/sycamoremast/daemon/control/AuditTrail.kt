/** What the rest of the daemon records of changes. */
package sycamoremast.daemon.control

/** Keeps who changed what, when, and from which revision. */
fun interface AuditTrail {
    /** Records [change]; keeps trying while the platform's service is down. */
    fun record(change: AuditedChange)
}

/** A change that an operator or the system itself made. */
data class AuditedChange(
    val operator: String,
    val action: String,
    val subject: String,
    val fromRevision: Long,
    val toRevision: Long
)
