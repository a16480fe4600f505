package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class OrderWindowTest {
    private class FloodResult(val answered: Int, val lost: Int)

    /**
     * Simulates the orders when a large fleet starts: 1,000 per second for three seconds.
     *
     * The sender carries out 300 per second, and an order times out 600 ms after it was sent.
     */
    private fun sendFlood(window: OrderWindow?): FloodResult {
        val waiting = ArrayDeque<Int>()
        val sent = ArrayDeque<Int>()
        var answered = 0
        var lost = 0
        for (now in 0 until FLOOD_MILLIS + DRAIN_MILLIS) {
            if (now < FLOOD_MILLIS) waiting += now
            while (waiting.isNotEmpty() && window?.canSend != false) {
                waiting.removeFirst()
                sent += now
                window?.onSent()
            }
            val isCarriedOut = now * CARRIED_OUT_A_SECOND / 1_000 >
                (now - 1) * CARRIED_OUT_A_SECOND / 1_000
            if (!isCarriedOut || sent.isEmpty()) continue
            val tookMillis = now - sent.removeFirst()
            if (tookMillis > TIMEOUT_MILLIS) {
                lost++
                window?.onLost()
            } else {
                answered++
                window?.onAnswered(tookMillis.toLong())
            }
        }
        return FloodResult(answered, lost)
    }

    @Test
    fun `loses no order in a flood of starts`() {
        val unbounded = sendFlood(null)
        expectThat(unbounded.lost).isGreaterThan(2_000)
        val bounded = sendFlood(OrderWindow())
        expectThat(bounded.lost).isEqualTo(0)
        expectThat(bounded.answered).isEqualTo(FLOOD_MILLIS)
    }

    @Test
    fun `grows a full window on fast answers`() {
        val window = OrderWindow(initial = 10)
        repeat(10) { window.onSent() }
        expectThat(window.canSend).isFalse()
        window.onAnswered(5)
        expectThat(window.limit).isEqualTo(11)
    }

    @Test
    fun `does not grow a window that is not full`() {
        val window = OrderWindow(initial = 10)
        repeat(100) {
            window.onSent()
            window.onAnswered(5)
        }
        expectThat(window.limit).isEqualTo(10)
    }

    @Test
    fun `shrinks once on slow answers to orders that were in flight together`() {
        val window = OrderWindow(initial = 10)
        repeat(10) { window.onSent() }
        repeat(8) { window.onAnswered(OrderWindow.SLOW_ANSWER_MILLIS + 1) }
        expectThat(window.limit).isEqualTo(8)
    }

    @Test
    fun `shrinks no further than the minimum on lost orders`() {
        val window = OrderWindow(initial = 64)
        repeat(1_000) {
            window.onSent()
            window.onLost()
        }
        expectThat(window.limit).isEqualTo(OrderWindow.MIN_ORDERS)
        expectThat(window.inFlight).isLessThan(1)
    }

    // Guards against a lost order that shrinks the window of a path that works.
    @Test
    fun `gives back the place of an overtaken order and keeps its size`() {
        val window = OrderWindow(initial = 10)
        repeat(10) { window.onSent() }
        window.onOvertaken()
        expectThat(window.canSend).isEqualTo(true)
        expectThat(window.limit).isEqualTo(10)
    }

    @Test
    fun `shrinks on the late answer to an overtaken order`() {
        val window = OrderWindow(initial = 10)
        window.onSent()
        window.onOvertaken()
        window.onAnsweredOvertaken()
        expectThat(window.limit).isEqualTo(8)
        expectThat(window.inFlight).isEqualTo(0)
    }

    private companion object {
        const val FLOOD_MILLIS = 3_000
        const val DRAIN_MILLIS = 8_000
        const val CARRIED_OUT_A_SECOND = 300
        const val TIMEOUT_MILLIS = 600
    }
}
