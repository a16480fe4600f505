/**
 * Bounds how many orders wait for an answer at the same time.
 *
 * As in congestion control, the bound grows while answers come soon and shrinks when they come late
 * or not at all, so that what is sent follows what is carried out.
 */
package sycamoremast.coordination.workflow

/** The window of one way to the workers, which starts at [initial] orders. */
class OrderWindow(initial: Int = INITIAL_ORDERS) {
    private var size = initial.toDouble()
    private var isStarting = true
    private var untilNextCut = 0

    /** The number of orders without an answer. */
    var underWay = 0
        private set

    /** The number of orders that may be without an answer. */
    val limit: Int get() = size.toInt()

    val hasRoom: Boolean get() = underWay < limit

    /** Takes in that an order was sent. */
    fun sent() {
        underWay++
    }

    /** Takes in that an order was answered after [tookMillis]. */
    fun answered(tookMillis: Long) {
        val wasFull = underWay >= limit
        settled()
        when {
            tookMillis > SLOW_ANSWER_MILLIS -> cut(SLOW_FACTOR)

            // A window that is not used up says nothing about what more would do.
            wasFull -> size = minOf(size + growth(), MOST_ORDERS.toDouble())
        }
    }

    /** Takes in that an order got no answer in time. */
    fun lost() {
        settled()
        cut(LOST_FACTOR)
    }

    private fun settled() {
        underWay = (underWay - 1).coerceAtLeast(0)
        if (untilNextCut > 0) untilNextCut--
    }

    private fun growth() = if (isStarting) 1.0 else 1 / size

    /** Shrinks once for the orders that were under way together. */
    private fun cut(factor: Double) {
        if (untilNextCut > 0) return
        isStarting = false
        untilNextCut = underWay
        size = maxOf(size * factor, LEAST_ORDERS.toDouble())
    }

    companion object {
        /** About what a small host answers within a tenth of a second. */
        const val INITIAL_ORDERS = 24

        /** Keeps a slow way in use, so that its recovery is seen. */
        const val LEAST_ORDERS = 4
        const val MOST_ORDERS = 256

        /** Many times an answer's usual time, and well below the time after which it is given up. */
        const val SLOW_ANSWER_MILLIS = 150L
        private const val SLOW_FACTOR = 0.8
        private const val LOST_FACTOR = 0.5
    }
}
