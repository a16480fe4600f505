/** A way to the workers, with the orders that wait for it. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.workflow.OrderWindow
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerOrder

/** Order [number], whose answer goes to [done]. */
internal class DispatchedOrder(
    val number: Long,
    val order: WorkerOrder,
    val askedMillis: Long,
    val done: (WorkerAnswer) -> Unit
) {
    var lane: OrderLane? = null
    var sentMillis = 0L

    /** When the order is given up if it has no answer. */
    val deadlineMillis: Long
        get() = sentMillis + ANSWER_MILLIS + ((order as? PollOrder)?.waitMillis ?: 0)

    private companion object {
        /** The time a relay gives a worker, and half a second for the way. */
        const val ANSWER_MILLIS = 1_100L
    }
}

/** The way through another [host], or this host's own if that is null. */
internal class OrderLane(val host: String?) {
    private val window = OrderWindow()
    private val batch = ArrayList<DispatchedOrder>()

    /** What the window leaves no room for. */
    private val waiting = ArrayDeque<DispatchedOrder>()
    var answeredMillis = Long.MIN_VALUE

    /** Until then the host is not used, as it left orders unanswered. */
    var suspectUntilMillis = Long.MIN_VALUE

    fun add(dispatched: DispatchedOrder) {
        dispatched.lane = this
        when (dispatched.order) {
            is PollOrder -> batch += dispatched

            // A stop frees room or ends what must not run: it goes before starts.
            is StopOrder -> waiting.addFirst(dispatched)

            is StartOrder, is PaceOrder -> waiting.addLast(dispatched)
        }
    }

    /** Returns what is to be sent at [nowMillis]. */
    fun nextBatch(nowMillis: Long): List<DispatchedOrder> {
        while (waiting.isNotEmpty() && window.canSend) {
            window.onSent()
            batch += waiting.removeFirst()
        }
        val next = batch.toList()
        batch.clear()
        next.forEach { it.sentMillis = nowMillis }
        return next
    }

    /** Returns all that was not sent, which then belongs to this lane no more. */
    fun takeUnsent(): List<DispatchedOrder> {
        val unsent = batch + waiting
        batch.clear()
        waiting.clear()
        return unsent
    }

    /** Takes in the [answer] to [dispatched]; polls wait for ends and say nothing of the way. */
    fun answered(dispatched: DispatchedOrder, answer: WorkerAnswer, nowMillis: Long) {
        answeredMillis = nowMillis
        when {
            dispatched.order is PollOrder -> Unit
            answer is WorkerAnswer.Unknown -> window.onLost()
            else -> window.onAnswered(nowMillis - dispatched.sentMillis)
        }
    }

    /** Returns what has waited so long that another choice is better; stops wait on. */
    fun takeOld(nowMillis: Long): List<DispatchedOrder> {
        val old = waiting.filter {
            it.order !is StopOrder && nowMillis - it.askedMillis > MOST_WAIT_MILLIS
        }
        if (old.isNotEmpty()) waiting.removeAll(old.toSet())
        return old
    }

    private companion object {
        /** Shorter than most tasks, so that a start elsewhere is still in time. */
        const val MOST_WAIT_MILLIS = 1_000L
    }
}
