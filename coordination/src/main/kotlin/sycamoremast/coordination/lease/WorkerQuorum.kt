/**
 * How the workers of a shard arbitrate between an owner that is cut off from the service and its
 * successor.
 *
 * An owner whose lease in the service has lapsed may go on only while [toGoOn] of the recorded
 * workers answer it. A successor may rely on having ended that once [toSucceed] of them have taken
 * its higher epoch. Any two such groups share a worker, which refuses the earlier owner.
 */
package sycamoremast.coordination.lease

/** The group sizes among [workers] recorded workers. */
data class WorkerQuorum(val workers: Int) {
    /** The workers that must have taken a successor's epoch. */
    val toSucceed: Int get() = (workers + SUCCESSOR_PART - 1) / SUCCESSOR_PART

    /** The workers that must answer an owner that goes on without the service. */
    val toGoOn: Int get() = workers - toSucceed + 1

    private companion object {
        /** A successor needs one worker in this many, as some may have died with the owner. */
        const val SUCCESSOR_PART = 4
    }
}
