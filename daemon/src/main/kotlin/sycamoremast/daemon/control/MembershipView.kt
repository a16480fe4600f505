/** The interface of membership for the rest of the daemon. */
package sycamoremast.daemon.control

/** Provides the entry hosts as this host knows them. */
interface MembershipView {
    /** This host. */
    val self: Member

    /** Returns all known entry hosts, including this one. */
    fun members(): List<Member>
}

/** The state of a host as seen by this one: live, suspect or gone. */
typealias MemberState = sycamoremast.coordination.membership.MemberState

/** An entry host; its [incarnation] increases with each restart. */
data class Member(
    val host: String,
    val availabilityZone: String,
    val incarnation: Long,
    val peerAddress: String,
    val state: MemberState
)
