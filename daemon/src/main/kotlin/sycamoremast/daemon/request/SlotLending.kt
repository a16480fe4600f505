/**
 * Lends idle slots to other entry hosts and borrows theirs.
 *
 * A host borrows slots while requests wait in its queues, and returns unused ones with its next
 * message to the lender.
 */
package sycamoremast.daemon.request

import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.coordination.request.LoanRequest
import sycamoremast.coordination.request.SlotCounts
import sycamoremast.daemon.peer.BorrowSlots
import sycamoremast.daemon.peer.LentSlots
import sycamoremast.daemon.peer.PeerNetwork

/** Exchanges slots with other entry hosts. */
internal class SlotLending(private val dispatcher: Dispatcher, private val peers: PeerNetwork) :
    AutoCloseable {
    private val nextAskMillis = hashMapOf<String, Double>()
    private val loop = Loop("slot-lending", ::step)

    fun start() {
        peers.handle(BorrowSlots::class, ::lend)
        loop.start()
    }

    /** Checks immediately whether slots have to be borrowed. */
    fun wake() = loop.wake()

    override fun close() = loop.close()

    private fun lend(from: String, message: BorrowSlots): LentSlots? =
        dispatcher.withQueues { queues, ledger, now ->
            val spare = hashMapOf<String, Int>()
            message.wanted.forEach { (service, wanted) ->
                queues[service]?.let { spare += takeUpTo(it.spareSlots(now), wanted) }
            }
            val totals = queues.values.map { it.totalSlots() }
                .fold(emptyMap<String, Int>()) { sum, more -> sum + more }
            val round = LoanRequest(message.round, message.needs, message.wanted.values.sum())
            ledger.lend(from, round, spare, totals, now.toLong())
                ?.let { LentSlots(message.round, it) }
        }

    private fun takeUpTo(spare: SlotCounts, wanted: Int): SlotCounts {
        var remaining = wanted
        return spare.mapValues { (_, count) -> minOf(count, remaining).also { remaining -= it } }
            .filterValues { it > 0 }
    }

    private fun step(): Long {
        val waiting = dispatcher.withQueues { queues, _, _ ->
            queues.mapValues { it.value.waitingCount }.filterValues { it > 0 }
        }
        val lenders = dispatcher.withQueues { _, ledger, now -> ledger.lenders(now.toLong()) }
        if (waiting.isEmpty() && lenders.isEmpty()) return IDLE_MILLIS
        for (peer in dispatcher.livePeers().shuffled()) {
            if (waiting.isNotEmpty() || peer in lenders) askIfDue(peer)
        }
        return STEP_MILLIS
    }

    private fun askIfDue(peer: String) {
        val now = dispatcher.nowMillis()
        if (now < (nextAskMillis[peer] ?: 0.0)) return
        val lent = ask(peer)
        val pause = if (lent) RENEW_MILLIS else RETRY_EMPTY_MILLIS
        nextAskMillis[peer] = dispatcher.nowMillis() + pause
    }

    /** Asks [peer] for slots, and returns whether it has lent any. */
    private fun ask(peer: String): Boolean {
        val message = dispatcher.withQueues { queues, ledger, now ->
            val wanted = queues.mapValues { it.value.waitingCount }.filterValues { it > 0 }
            val inUse = queues.values.map { neededSlots(it, now) }
                .fold(emptyMap<String, Int>()) { sum, more -> sum + more }
            val round = ledger.requestLoan(peer, inUse, wanted.values.sum(), now.toLong())
            BorrowSlots(round.number, round.needs, wanted)
        }
        val answer = peers.ask(peer, message, ASK_TIMEOUT).getOrNull() as? LentSlots ?: return false
        dispatcher.withQueues { queues, ledger, now ->
            ledger.recordGrant(peer, answer.round, answer.slots)
            queues.values.forEach { it.dispatch(now) }
        }
        return answer.slots.isNotEmpty()
    }

    private fun neededSlots(queue: ServiceQueue, nowMillis: Double): SlotCounts =
        if (queue.waitingCount > 0) queue.totalSlots() else queue.borrowedInUse(nowMillis)

    private companion object {
        const val STEP_MILLIS = 5L
        const val IDLE_MILLIS = 500L
        const val RENEW_MILLIS = 100.0
        const val RETRY_EMPTY_MILLIS = 50.0
        val ASK_TIMEOUT = 200.milliseconds
    }
}
