/** The states of an entry host as seen by another; `member.scxml` defines the transitions. */
package sycamoremast.coordination.membership

/** The state of a host as seen by another. */
enum class MemberState {
    /** A message from it arrived a short time ago. */
    LIVE,

    /** No message has arrived for a while, or none so far; the host may still be running. */
    SUSPECT,

    /** It announced its departure, or it is silent and its registration has lapsed. */
    GONE
}

/** An event that moves a host from one [MemberState] to another. */
enum class MemberEvent {
    /** A message from the host arrived. */
    MESSAGE_RECEIVED,

    /** No message from the host has arrived for a while. */
    SILENT,

    /** The host is silent and its registration has lapsed. */
    REGISTRATION_LAPSED,

    /** The host announced its departure. */
    LEFT,

    /** The host has registered again. */
    REGISTERED
}
