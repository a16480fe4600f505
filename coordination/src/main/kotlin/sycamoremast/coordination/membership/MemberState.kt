/** The states of an entry host as another one sees it; `member.scxml` holds the transitions. */
package sycamoremast.coordination.membership

/** How sure a host is of another. */
enum class MemberState {
    /** It was heard a short time ago. */
    LIVE,

    /** It has not been heard for a while, or not yet; it may be alive. */
    SUSPECT,

    /** It said that it would leave, or it is silent and its registration has lapsed. */
    GONE
}

/** What moves a host from one [MemberState] to another. */
enum class MemberEvent {
    /** A message of the host arrived. */
    MESSAGE_RECEIVED,

    /** No message arrived for a while. */
    SILENT,

    /** The host is silent and no longer registered. */
    REGISTRATION_LAPSED,

    /** The host announced its end. */
    LEFT,

    /** The host has registered again. */
    REGISTERED
}
