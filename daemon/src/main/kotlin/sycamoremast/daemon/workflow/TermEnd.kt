package sycamoremast.daemon.workflow

import sycamoremast.coordination.workflow.WorkerRef

/**
 * What a term of ownership leaves behind.
 *
 * All times are on this host's clock: when the last heartbeats were formed that are durable and that
 * all standbys have acknowledged, or null, and by when the leases of workers have lapsed.
 * [isHandedOver] tells whether the next owner can read these leases in the store, or is null if the
 * term didn't end as planned.
 */
internal data class TermEnd(
    val durableMillis: Long?,
    val confirmedMillis: Long?,
    val leaseEnds: Map<WorkerRef, Long>,
    val isHandedOver: Boolean?
)
