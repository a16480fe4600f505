package sycamoremast.coordination.workflow

/**
 * What a host tells the successor of an owner: in the last [millisAgo] milliseconds, by its own clock,
 * it has acknowledged no heartbeat of that owner or, if [isOwnerEnd], that owner, which was on this
 * host, had ended.
 *
 * [liftedLimits] gives the workers whose limits in the roster it knows to be lifted, by the number of
 * the last heartbeat that named them, or null if it doesn't know of them. [lastHeartbeat] is the last
 * durable heartbeat of that owner that it has seen, or null if there is none.
 */
data class StandbyReport(
    val millisAgo: Long,
    val liftedLimits: Map<String, Long>? = emptyMap(),
    val isOwnerEnd: Boolean = false,
    val lastHeartbeat: HeartbeatSighting? = null
)
