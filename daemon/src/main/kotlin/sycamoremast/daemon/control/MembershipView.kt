/** What the rest of the daemon sees of the entry hosts. */
package sycamoremast.daemon.control

/** The entry hosts, as far as this one can tell. */
interface MembershipView {
    /** This host. */
    val self: Member

    /** Returns all known entry hosts, this one included. */
    fun members(): List<Member>
}

/** How sure this host is of another. */
typealias MemberState = sycamoremast.coordination.membership.MemberState

/** An entry host; a restart gives it a higher [incarnation]. */
data class Member(
    val host: String,
    val availabilityZone: String,
    val incarnation: Long,
    val peerAddress: String,
    val state: MemberState
)
