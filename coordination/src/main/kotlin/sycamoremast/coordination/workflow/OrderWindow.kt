/**
 * Bounds the number of orders that are in flight at the same time.
 *
 * As in delay-based congestion control, the bound grows while answers are fast and shrinks when they
 * are slow, so that the send rate follows the rate at which orders are carried out. A missing answer
 * counts only if no later order was answered: otherwise the path works, and the order gives its
 * place back.
 */
package sycamoremast.coordination.workflow

/** The congestion window of one path to the workers, which starts at [initial] orders. */
class OrderWindow(initial: Int = INITIAL_ORDERS) {
    private var size = initial.toDouble()
    private var isSlowStart = true
    private var answersUntilNextCut = 0

    /** The number of orders that were sent and not yet answered, lost or overtaken. */
    var inFlight = 0
        private set

    /** The highest number of orders that may be in flight. */
    val limit: Int get() = size.toInt()

    val canSend: Boolean get() = inFlight < limit

    /** Counts an order that was sent. */
    fun onSent() {
        inFlight++
    }

    /** Processes the answer to an order, which came after [tookMillis]. */
    fun onAnswered(tookMillis: Long) {
        val wasUsedUp = inFlight >= limit
        onSettled()
        when {
            tookMillis > SLOW_ANSWER_MILLIS -> shrink(SLOW_ANSWER_FACTOR)

            // Answers within a window that is not full don't show that a larger one would do.
            wasUsedUp -> size = minOf(size + increment(), MAX_ORDERS.toDouble())
        }
    }

    /** Processes an order whose answer is overdue while a later order was answered fast. */
    fun onOvertaken() = onSettled()

    /** Processes the late answer to an order that was overtaken. */
    fun onAnsweredOvertaken() = shrink(SLOW_ANSWER_FACTOR)

    /** Processes an order that got no answer in time, as no later order did either. */
    fun onLost() {
        onSettled()
        shrink(LOST_ORDER_FACTOR)
    }

    private fun onSettled() {
        inFlight = (inFlight - 1).coerceAtLeast(0)
        if (answersUntilNextCut > 0) answersUntilNextCut--
    }

    private fun increment() = if (isSlowStart) 1.0 else 1 / size

    /** Shrinks the window, at most once for the orders that were in flight together. */
    private fun shrink(factor: Double) {
        if (answersUntilNextCut > 0) return
        isSlowStart = false
        answersUntilNextCut = inFlight
        size = maxOf(size * factor, MIN_ORDERS.toDouble())
    }

    companion object {
        /** About the number of orders that a small host answers within 100 ms. */
        const val INITIAL_ORDERS = 24

        /** Keeps a slow path in use, so that its recovery is noticed. */
        const val MIN_ORDERS = 4
        const val MAX_ORDERS = 256

        /** Many times the usual answer time, and well below the timeout of an order. */
        const val SLOW_ANSWER_MILLIS = 150L
        private const val SLOW_ANSWER_FACTOR = 0.8
        private const val LOST_ORDER_FACTOR = 0.5
    }
}
