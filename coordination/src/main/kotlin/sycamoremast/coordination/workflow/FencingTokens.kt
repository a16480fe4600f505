/** The fencing tokens by which workers reject orders of earlier owners and incarnations. */
package sycamoremast.coordination.workflow

/** The tokens of the owner with [epoch], which are higher than those of all earlier epochs. */
internal class FencingTokens(private val epoch: Long) {
    /** The highest token that an order of this owner carries. */
    var highest = epoch * PER_EPOCH
        private set

    /**
     * Lets [worker] reject the orders sent so far once it has received a later one.
     *
     * An order without an answer may be carried out late, by another incarnation of the worker.
     */
    fun fenceEarlierOrders(worker: FleetWorker) {
        check(highest + 1 < (epoch + 1) * PER_EPOCH) { "no token left in epoch $epoch" }
        worker.fencingToken = ++highest
    }

    private companion object {
        /** The size of the range of tokens that each epoch has. */
        const val PER_EPOCH = 1_000_000_000L
    }
}
