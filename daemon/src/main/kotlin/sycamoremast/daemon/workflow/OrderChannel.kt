/**
 * A channel to the workers, with its queue of waiting orders.
 *
 * The window follows the channel's answer times. An order without an answer that a later order has
 * overtaken says nothing about the channel: it leaves the window and counts against its worker.
 */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.workflow.OrderWindow
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.RejectReason
import sycamoremast.coordination.workflow.SilentWorkers
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
    private val silentWorkers = SilentWorkers()

    /** Orders to be sent with the next batch. */
    private val batch = ArrayList<DispatchedOrder>()

    /** Orders that exceed the window, or that wait for a silent worker. */
    private val waiting = ArrayDeque<DispatchedOrder>()

    /** Unanswered orders that hold a place in the window, by number, in the order of sending. */
    private val placed = LinkedHashMap<Long, DispatchedOrder>()

    /** The number of unanswered orders that were overtaken. */
    private var overtakenCount = 0

    /** When the latest of the orders was sent that got a fast answer. */
    private var lastFastSentMillis = Long.MIN_VALUE

    /** The time after which an unanswered order counts as overtaken, if later ones are answered. */
    private var overdueMillis = OrderWindow.SLOW_ANSWER_MILLIS

    /** The time until which answers are expected to arrive out of order. */
    private var reorderedUntilMillis = Long.MIN_VALUE
    var lastAnswerMillis = Long.MIN_VALUE

    /** The time until which the relay is avoided because it left orders unanswered. */
    var suspectUntilMillis = Long.MIN_VALUE

    val windowLimit: Int get() = window.limit

    private val hasPlace: Boolean
        get() = window.canSend && placed.size + overtakenCount < OrderWindow.MAX_ORDERS

    fun silentWorkerCount(nowMillis: Long) = silentWorkers.count(nowMillis)

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
        releaseOvertaken(nowMillis)
        val queue = waiting.iterator()
        while (hasPlace && queue.hasNext()) {
            val next = queue.next()
            val worker = next.order.worker.id
            val isHeld = next.order !is StopOrder && !silentWorkers.canSend(worker, nowMillis)
            if (isHeld) continue
            queue.remove()
            window.onSent()
            silentWorkers.onSent(worker)
            placed[next.number] = next
            batch += next
        }
        val next = batch.toList()
        batch.clear()
        next.forEach { it.sentMillis = nowMillis }
        return next
    }

    /** Frees the places of orders that are overdue while a later order was answered fast. */
    private fun releaseOvertaken(nowMillis: Long) {
        if (nowMillis >= reorderedUntilMillis) overdueMillis = OrderWindow.SLOW_ANSWER_MILLIS
        val orders = placed.values.iterator()
        while (orders.hasNext()) {
            val oldest = orders.next()
            val isOverdue = nowMillis - oldest.sentMillis > overdueMillis
            if (!isOverdue || oldest.sentMillis >= lastFastSentMillis) return
            orders.remove()
            overtakenCount++
            window.onOvertaken()
            silentWorkers.onOvertaken(oldest.order.worker.id, oldest.sentMillis, nowMillis)
        }
    }

    /** Removes and returns all orders that were not sent. */
    fun takeUnsent(): List<DispatchedOrder> {
        val unsent = batch + waiting
        batch.clear()
        waiting.clear()
        return unsent
    }

    /**
     * Updates the window and what is known of the worker for the [answer] to [dispatched].
     *
     * Polls don't count for the window: a worker may delay its answer until a run ends, so their
     * answer times say nothing about the channel.
     */
    fun onAnswer(dispatched: DispatchedOrder, answer: WorkerAnswer, nowMillis: Long) {
        lastAnswerMillis = nowMillis
        val isAnswered = answer !is WorkerAnswer.Unknown && answer != NOT_SENT
        when {
            dispatched.order !is PollOrder -> settle(dispatched, answer, isAnswered, nowMillis)
            isAnswered -> silentWorkers.onSignOfLife(dispatched.order.worker.id, nowMillis)
        }
    }

    private fun settle(
        dispatched: DispatchedOrder,
        answer: WorkerAnswer,
        isAnswered: Boolean,
        nowMillis: Long
    ) {
        val worker = dispatched.order.worker.id
        val tookMillis = nowMillis - dispatched.sentMillis
        val isFast = tookMillis <= OrderWindow.SLOW_ANSWER_MILLIS
        if (isAnswered) {
            silentWorkers.onAnswered(worker, nowMillis)
            if (isFast) lastFastSentMillis = maxOf(lastFastSentMillis, dispatched.sentMillis)
        } else {
            silentWorkers.onLost(worker, nowMillis)
        }
        val heldPlace = placed.remove(dispatched.number) != null
        if (!heldPlace) overtakenCount--
        // A worker that can't be connected to is as silent as one that doesn't answer.
        val isLost = answer is WorkerAnswer.Unknown || (!isAnswered && !isFast)
        when {
            heldPlace && isLost -> window.onLost()
            heldPlace -> window.onAnswered(tookMillis)
            isAnswered -> onAnsweredOvertaken(tookMillis, nowMillis)
        }
    }

    /** An overtaken order was answered after all, so others may be as late without being lost. */
    private fun onAnsweredOvertaken(tookMillis: Long, nowMillis: Long) {
        overdueMillis = maxOf(overdueMillis, tookMillis)
        reorderedUntilMillis = nowMillis + REORDERED_MILLIS
        window.onAnsweredOvertaken()
    }

    /**
     * Removes and returns the orders that have waited too long, for which another worker is a
     * better choice. Stops keep waiting.
     */
    fun takeOverdue(nowMillis: Long): List<DispatchedOrder> {
        silentWorkers.forgetExpired(nowMillis)
        val overdue = waiting.filter {
            it.order !is StopOrder &&
                nowMillis - it.submittedMillis > maxWaitMillis(it.order.worker.id, nowMillis)
        }
        if (overdue.isNotEmpty()) waiting.removeAll(overdue.toSet())
        return overdue
    }

    /** Returns why an order to [worker] that was given back was not sent. */
    fun unsentReason(worker: String, nowMillis: Long): RejectReason =
        if (silentWorkers.isSilent(worker, nowMillis)) {
            RejectReason.WORKER_SILENT
        } else {
            RejectReason.CONGESTED
        }

    private fun maxWaitMillis(worker: String, nowMillis: Long): Long {
        val isSilent = silentWorkers.isSilent(worker, nowMillis)
        return if (isSilent) MAX_WAIT_IF_SILENT_MILLIS else MAX_WAIT_MILLIS
    }

    private companion object {
        val NOT_SENT = WorkerAnswer.Rejected(RejectReason.NOT_SENT)

        /** Long enough to see more answers that are as late, if there are any. */
        const val REORDERED_MILLIS = 2_000L

        /** Shorter than most tasks, so that a start on another worker is still in time. */
        const val MAX_WAIT_MILLIS = 1_000L

        /** Other workers answer meanwhile, so that a start on one of them is soon possible. */
        const val MAX_WAIT_IF_SILENT_MILLIS = 100L
    }
}
