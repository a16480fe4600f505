/**
 * The fencing tokens by which workers reject orders of earlier owners and incarnations.
 *
 * Before an owner counts a heartbeat that it only announces, it raises its tokens. A worker that
 * accepts a token between those of before and the raised ones thus shows that it has accepted no
 * raised one, see [AnnouncementProbe].
 */
package sycamoremast.coordination.workflow

/** The tokens of the owner with [epoch], which are higher than those of all earlier epochs. */
internal class FencingTokens(private val epoch: Long) {
    /** The highest token that an order of this owner carries. */
    var highest = epoch * PER_EPOCH
        private set

    /** Whether the owner may announce heartbeats, so that its orders carry raised tokens. */
    val areRaised: Boolean get() = isRaised(highest)

    /**
     * Lets [worker] reject the orders sent so far once it has received a later one.
     *
     * An order without an answer may be carried out late, by another incarnation of the worker.
     */
    fun fenceEarlierOrders(worker: FleetWorker) {
        check(highest + 1 < (epoch + 1) * PER_EPOCH) { "no token left in epoch $epoch" }
        worker.fencingToken = ++highest
    }

    /** Lets all later orders to [workers] carry raised tokens. */
    fun raise(workers: Collection<FleetWorker>) {
        highest = maxOf(highest, epoch * PER_EPOCH + RAISED)
        workers.forEach { it.fencingToken = highest }
    }

    companion object {
        /** The size of the range of tokens that each epoch has. */
        private const val PER_EPOCH = 1_000_000_000L

        /** Where the raised tokens of an epoch begin. */
        private const val RAISED = 500_000_000L

        /** Where the tokens begin by which successors probe workers, each by one of its own. */
        private const val PROBES = 400_000_000L

        /** Whether an order with [token] was sent by an owner that may announce heartbeats. */
        fun isRaised(token: Long): Boolean = token % PER_EPOCH >= RAISED

        /**
         * Returns the token by which the owner of [epoch] probes workers of the owner of [lastEpoch],
         * or null if there is none.
         */
        fun probeOrNull(lastEpoch: Long, epoch: Long): Long? =
            (epoch - lastEpoch).takeIf { it in 1 until RAISED - PROBES }
                ?.let { lastEpoch * PER_EPOCH + PROBES + it }
    }
}
