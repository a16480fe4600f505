/**
 * Lends idle slots to other entry hosts and borrows theirs.
 *
 * A host borrows while requests wait in its queues, and gives back what it does not use with its
 * next message to the lender.
 */
package sycamoremast.daemon.request

import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.coordination.request.LoanRequest
import sycamoremast.coordination.request.SlotCounts
import sycamoremast.daemon.peer.BorrowSlots
import sycamoremast.daemon.peer.LentSlots
import sycamoremast.daemon.peer.PeerNetwork

internal class SlotLending(private val dispatcher: Dispatcher, private val peers: PeerNetwork) :
    AutoCloseable {
    private val nextAskMillis = hashMapOf<String, Double>()
    private val loop = Loop("slot-lending", ::step)

    fun start() {
        peers.handle(BorrowSlots::class, ::lend)
        loop.start()
    }

    /** Looks at once whether slots have to be borrowed. */
    fun wake() = loop.wake()

    override fun close() = loop.close()

    private fun lend(from: String, message: BorrowSlots): LentSlots? =
        dispatcher.withLanes { lanes, ledger, now ->
            val spare = hashMapOf<String, Int>()
            message.wanted.forEach { (service, wanted) ->
                lanes[service]?.let { spare += firstOf(it.spare(now), wanted) }
            }
            val totals = lanes.values.map { it.totals() }
                .fold(emptyMap<String, Int>()) { sum, more -> sum + more }
            val round = LoanRequest(message.round, message.needs, message.wanted.values.sum())
            ledger.lend(from, round, spare, totals, now.toLong())
                ?.let { LentSlots(message.round, it) }
        }

    private fun firstOf(spare: SlotCounts, wanted: Int): SlotCounts {
        var left = wanted
        return spare.mapValues { (_, count) -> minOf(count, left).also { left -= it } }
            .filterValues { it > 0 }
    }

    private fun step(): Long {
        val waiting = dispatcher.withLanes { lanes, _, _ ->
            lanes.mapValues { it.value.waiting }.filterValues { it > 0 }
        }
        val lenders = dispatcher.withLanes { _, ledger, now -> ledger.lenders(now.toLong()) }
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
        val pause = if (lent) RENEW_MILLIS else EMPTY_MILLIS
        nextAskMillis[peer] = dispatcher.nowMillis() + pause
    }

    /** Returns whether [peer] has lent anything. */
    private fun ask(peer: String): Boolean {
        val message = dispatcher.withLanes { lanes, ledger, now ->
            val wanted = lanes.mapValues { it.value.waiting }.filterValues { it > 0 }
            val inUse = lanes.values.map { needs(it, now) }
                .fold(emptyMap<String, Int>()) { sum, more -> sum + more }
            val round = ledger.requestLoan(peer, inUse, wanted.values.sum(), now.toLong())
            BorrowSlots(round.number, round.needs, wanted)
        }
        val answer = peers.ask(peer, message, ASK_TIMEOUT).getOrNull() as? LentSlots ?: return false
        dispatcher.withLanes { lanes, ledger, now ->
            ledger.recordGrant(peer, answer.round, answer.slots)
            lanes.values.forEach { it.dispatch(now) }
        }
        return answer.slots.isNotEmpty()
    }

    private fun needs(lane: ServiceLane, nowMillis: Double): SlotCounts =
        if (lane.waiting > 0) lane.totals() else lane.borrowedInUse(nowMillis)

    private companion object {
        const val STEP_MILLIS = 5L
        const val IDLE_MILLIS = 500L
        const val RENEW_MILLIS = 100.0
        const val EMPTY_MILLIS = 50.0
        val ASK_TIMEOUT = 200.milliseconds
    }
}
