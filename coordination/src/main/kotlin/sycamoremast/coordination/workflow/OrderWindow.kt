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
    private var isSlowStart = true
    private var answersUntilNextCut = 0

    /** The number of orders without an answer. */
    var inFlight = 0
        private set

    /** The number of orders that may be without an answer. */
    val limit: Int get() = size.toInt()

    val canSend: Boolean get() = inFlight < limit

    /** Takes in that an order was sent. */
    fun onSent() {
        inFlight++
    }

    /** Takes in that an order was answered after [tookMillis]. */
    fun onAnswered(tookMillis: Long) {
        val wasUsedUp = inFlight >= limit
        onSettled()
        when {
            tookMillis > SLOW_ANSWER_MILLIS -> shrink(SLOW_ANSWER_FACTOR)

            // A window that is not used up says nothing about what more would do.
            wasUsedUp -> size = minOf(size + increment(), MAX_ORDERS.toDouble())
        }
    }

    /** Takes in that an order got no answer in time. */
    fun onLost() {
        onSettled()
        shrink(LOST_ORDER_FACTOR)
    }

    private fun onSettled() {
        inFlight = (inFlight - 1).coerceAtLeast(0)
        if (answersUntilNextCut > 0) answersUntilNextCut--
    }

    private fun increment() = if (isSlowStart) 1.0 else 1 / size

    /** Shrinks once for the orders that were under way together. */
    private fun shrink(factor: Double) {
        if (answersUntilNextCut > 0) return
        isSlowStart = false
        answersUntilNextCut = inFlight
        size = maxOf(size * factor, MIN_ORDERS.toDouble())
    }

    companion object {
        /** About what a small host answers within a tenth of a second. */
        const val INITIAL_ORDERS = 24

        /** Keeps a slow way in use, so that its recovery is seen. */
        const val MIN_ORDERS = 4
        const val MAX_ORDERS = 256

        /** Many times an answer's usual time, and well below the time after which it is given up. */
        const val SLOW_ANSWER_MILLIS = 150L
        private const val SLOW_ANSWER_FACTOR = 0.8
        private const val LOST_ORDER_FACTOR = 0.5
    }
}
