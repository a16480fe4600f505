/**
 * Forwards orders from the owner of a worker set to workers, and returns their answers.
 *
 * A relay makes no scheduling decisions and never sends an order twice. Answers that arrive within
 * a short time are returned in one message.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicInteger
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.RejectReason
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.send
import sycamoremast.daemon.log.BoundedLog
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.RelayedAnswer
import sycamoremast.daemon.peer.RelayedAnswers
import sycamoremast.daemon.peer.RelayedOrder
import sycamoremast.daemon.peer.RelayedOrders

/** Forwards orders that arrive over [network] to workers through [runs]. */
internal class OrderRelay(
    runs: RunPort,
    private val network: PeerNetwork,
    clock: MonotonicClock,
    private val log: EventLog
) : AutoCloseable {
    private class Reply(val to: String, val answer: RelayedAnswer)

    private val runs = GuardedRunPort(runs, clock, log)
    private val failures = BoundedLog(log, clock, "answers-failed")
    private val replies = LinkedBlockingQueue<Reply>()
    private val inFlight = AtomicInteger()

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, "order-relay").apply { isDaemon = true }

    fun start() = apply {
        network.handle(RelayedOrders::class) { from, message ->
            message.orders.forEach { forward(from, it) }
            null
        }
        thread.start()
    }

    private fun forward(from: String, relayed: RelayedOrder) {
        if (inFlight.get() >= MAX_IN_FLIGHT) {
            val refusal = WorkerAnswer.Rejected(RejectReason.CONGESTED)
            replies += Reply(from, RelayedAnswer(relayed.number, refusal))
            return
        }
        inFlight.incrementAndGet()
        runs.send(relayed.order) { answer ->
            inFlight.decrementAndGet()
            replies += Reply(from, RelayedAnswer(relayed.number, answer))
        }
    }

    private fun run() {
        val batch = ArrayList<Reply>()
        while (isOpen) {
            try {
                batch += replies.poll(IDLE_POLL_MILLIS, MILLISECONDS) ?: continue
                Thread.sleep(BATCH_DELAY_MILLIS)
                replies.drainTo(batch, MAX_REPLIES_PER_BATCH)
                batch.groupBy { it.to }.forEach { (to, repliesToHost) -> reply(to, repliesToHost) }
                batch.clear()
            } catch (_: InterruptedException) {
                return
            }
        }
    }

    /** Returns [replies] to their host; a failure costs no answers to other hosts, or later ones. */
    private fun reply(to: String, replies: List<Reply>) {
        try {
            val droppedCount = send(to, replies.map { it.answer })
            if (droppedCount > 0) log.add("answers-dropped", "peer" to to, "count" to droppedCount)
        } catch (e: RuntimeException) {
            failures.add(
                "step" to "return-answers",
                "peer" to to,
                "answers" to replies.size,
                "reason" to e,
                "at" to e.stackTrace.firstOrNull()
            )
        }
    }

    /** Sends [answers], in several messages if one is too large; returns how many were dropped. */
    private fun send(to: String, answers: List<RelayedAnswer>): Int = when {
        network.send(to, RelayedAnswers(answers)) -> 0
        answers.size == 1 -> 1
        else -> answers.chunked((answers.size + 1) / 2).sumOf { send(to, it) }
    }

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    private companion object {
        /** Twice the largest order window, plus a poll for each worker of a large share. */
        const val MAX_IN_FLIGHT = 1_024
        const val MAX_REPLIES_PER_BATCH = 256

        /** Short compared with the time that a worker takes to answer. */
        const val BATCH_DELAY_MILLIS = 4L
        const val IDLE_POLL_MILLIS = 500L
    }
}
