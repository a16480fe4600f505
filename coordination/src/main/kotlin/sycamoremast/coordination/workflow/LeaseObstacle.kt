package sycamoremast.coordination.workflow

/** Why the owner doesn't extend the lease of a worker on which tasks run. */
internal enum class LeaseObstacle {
    CLOCK_UNKNOWN,
    UNREACHABLE,

    /** The worker may have restarted since its last report. */
    INCARNATION_UNKNOWN,
    NO_DURABLE_ROSTER,

    /** No heartbeat that was formed since the clock is known is durable yet. */
    NO_HEARTBEAT,

    /** The roster says that the worker gets no lease, or only short ones from a sole owner. */
    LIMITED_IN_ROSTER,

    /** The last heartbeat that a successor is sure to know of was too long ago. */
    HEARTBEAT_TOO_OLD
}
