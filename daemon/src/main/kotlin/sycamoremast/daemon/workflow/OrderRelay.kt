/**
 * Sends to workers what the owner of a worker set passes on, and returns their answers.
 *
 * Nothing is decided here and nothing is sent twice; answers that come close together travel in one
 * message.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicInteger
import sycamoremast.coordination.workflow.RejectReason
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.send
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.RelayedAnswer
import sycamoremast.daemon.peer.RelayedAnswers
import sycamoremast.daemon.peer.RelayedOrder
import sycamoremast.daemon.peer.RelayedOrders

/** Serves the owners that reach this host over [network], with orders sent by [runs]. */
internal class OrderRelay(
    private val runs: RunPort,
    private val network: PeerNetwork,
    private val log: EventLog
) : AutoCloseable {
    private class Reply(val to: String, val answer: RelayedAnswer)

    private val replies = LinkedBlockingQueue<Reply>()
    private val underWay = AtomicInteger()

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, "order-relay").apply { isDaemon = true }

    fun start() = apply {
        network.handle(RelayedOrders::class) { from, message ->
            message.orders.forEach { pass(from, it) }
            null
        }
        thread.start()
    }

    private fun pass(from: String, relayed: RelayedOrder) {
        if (underWay.get() >= MOST_UNDER_WAY) {
            val refusal = WorkerAnswer.Rejected(RejectReason.CONGESTED)
            replies += Reply(from, RelayedAnswer(relayed.number, refusal))
            return
        }
        underWay.incrementAndGet()
        runs.send(relayed.order) { answer ->
            underWay.decrementAndGet()
            replies += Reply(from, RelayedAnswer(relayed.number, answer))
        }
    }

    private fun run() {
        val batch = ArrayList<Reply>()
        while (isOpen) {
            try {
                batch += replies.poll(IDLE_MILLIS, MILLISECONDS) ?: continue
                Thread.sleep(GATHER_MILLIS)
                replies.drainTo(batch, MOST_REPLIES)
                batch.groupBy { it.to }.forEach { (to, part) -> reply(to, part) }
                batch.clear()
            } catch (_: InterruptedException) {
                return
            }
        }
    }

    private fun reply(to: String, replies: List<Reply>) {
        if (network.send(to, RelayedAnswers(replies.map { it.answer }))) return
        log.add("answers-dropped", "peer" to to, "count" to replies.size)
    }

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    private companion object {
        /** Twice the largest window and a poll for each worker of a large share. */
        const val MOST_UNDER_WAY = 1_024
        const val MOST_REPLIES = 256

        /** Short beside the time that a worker takes to answer. */
        const val GATHER_MILLIS = 4L
        const val IDLE_MILLIS = 500L
    }
}
