/**
 * The quorums of workers that decide between a partitioned owner of a shard and its successor.
 *
 * An owner whose lease in the key-value service has expired may continue only while
 * [WorkerQuorum.toContinue] of the recorded workers answer it. A successor may assume that the owner
 * can no longer continue once [WorkerQuorum.toTakeOver] of them have accepted its higher epoch. Any
 * two such quorums share a worker, which rejects the earlier owner.
 */
package sycamoremast.coordination.lease

/** The quorum sizes for [workers] recorded workers. */
data class WorkerQuorum(val workers: Int) {
    /** The number of workers that must have accepted the epoch of a successor. */
    val toTakeOver: Int get() = (workers + TAKEOVER_DIVISOR - 1) / TAKEOVER_DIVISOR

    /** The number of workers that must answer an owner without a valid lease. */
    val toContinue: Int get() = workers - toTakeOver + 1

    private companion object {
        /** A successor needs 1 worker in 4, as others may have failed together with the owner. */
        const val TAKEOVER_DIVISOR = 4
    }
}
