/** The interface through which the daemon records audited changes. */
package sycamoremast.daemon.control

/** Records who changed what, when, and from which revision. */
fun interface AuditTrail {
    /** Records [change]; retries while the key-value service is unavailable. */
    fun record(change: AuditedChange)
}

/** A change made by an operator or by the system itself. */
data class AuditedChange(
    val operator: String,
    val action: String,
    val subject: String,
    val fromRevision: Long,
    val toRevision: Long
)
