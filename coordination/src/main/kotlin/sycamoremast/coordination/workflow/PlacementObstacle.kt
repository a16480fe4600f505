/** Reasons for which a worker is passed over in the search for one that a task may start on. */
package sycamoremast.coordination.workflow

internal enum class PlacementObstacle {
    ACCEPTS_NO_STARTS,
    NOT_FENCED,
    NO_LEASE,
    CAPACITY_OUTDATED,
    OTHER_SERVICE,
    LABEL_MISSING,
    ACCELERATORS_TAKEN,
    MEMORY_TAKEN,
    CPU_TAKEN,
    STEP_NOT_SPREAD,
    TASK_PRESENT
}
