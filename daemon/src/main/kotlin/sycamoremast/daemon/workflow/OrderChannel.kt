/** A channel to the workers, with its queue of waiting orders. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.workflow.OrderWindow
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerOrder

/** An order with its unique [number]; its answer is passed to [done]. */
internal class DispatchedOrder(
    val number: Long,
    val order: WorkerOrder,
    val submittedMillis: Long,
    val done: (WorkerAnswer) -> Unit
) {
    var channel: OrderChannel? = null
    var sentMillis = 0L

    /** The time at which the order fails if it is still unanswered. */
    val deadlineMillis: Long
        get() = sentMillis + ANSWER_TIMEOUT_MILLIS + ((order as? PollOrder)?.waitMillis ?: 0)

    private companion object {
        /** The time that a relay gives a worker to answer, plus half a second in transit. */
        const val ANSWER_TIMEOUT_MILLIS = 1_100L
    }
}

/** The channel through the relay [host], or the direct channel if [host] is null. */
internal class OrderChannel(val host: String?) {
    private val window = OrderWindow()

    /** Orders to be sent with the next batch. */
    private val batch = ArrayList<DispatchedOrder>()

    /** Orders that exceed the window. */
    private val waiting = ArrayDeque<DispatchedOrder>()
    var lastAnswerMillis = Long.MIN_VALUE

    /** The time until which the relay is avoided because it left orders unanswered. */
    var suspectUntilMillis = Long.MIN_VALUE

    fun add(dispatched: DispatchedOrder) {
        dispatched.channel = this
        when (dispatched.order) {
            is PollOrder -> batch += dispatched

            // A stop frees capacity or ends a run that must not continue, so it precedes starts.
            is StopOrder -> waiting.addFirst(dispatched)

            is StartOrder, is PaceOrder -> waiting.addLast(dispatched)
        }
    }

    /** Removes and returns the orders to send at [nowMillis]. */
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

    /** Removes and returns all orders that were not sent. */
    fun takeUnsent(): List<DispatchedOrder> {
        val unsent = batch + waiting
        batch.clear()
        waiting.clear()
        return unsent
    }

    /**
     * Updates the window for the [answer] to [dispatched].
     *
     * Polls don't count: a worker may delay its answer until a run ends, so their answer times say
     * nothing about the channel.
     */
    fun onAnswer(dispatched: DispatchedOrder, answer: WorkerAnswer, nowMillis: Long) {
        lastAnswerMillis = nowMillis
        when {
            dispatched.order is PollOrder -> Unit
            answer is WorkerAnswer.Unknown -> window.onLost()
            else -> window.onAnswered(nowMillis - dispatched.sentMillis)
        }
    }

    /**
     * Removes and returns the orders that have waited too long, for which another worker is a
     * better choice. Stops keep waiting.
     */
    fun takeOverdue(nowMillis: Long): List<DispatchedOrder> {
        val overdue = waiting.filter {
            it.order !is StopOrder && nowMillis - it.submittedMillis > MAX_WAIT_MILLIS
        }
        if (overdue.isNotEmpty()) waiting.removeAll(overdue.toSet())
        return overdue
    }

    private companion object {
        /** Shorter than most tasks, so that a start on another worker is still in time. */
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
