package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class SilentWorkersTest {
    private val workers = SilentWorkers()

    private fun silence(worker: String, orders: Int) {
        repeat(orders) { workers.onSent(worker) }
        workers.onOvertaken(worker, sentMillis = 0, nowMillis = 200)
    }

    @Test
    fun `bounds the orders to a silent worker`() {
        silence("w1", orders = SilentWorkers.MAX_ORDERS_IF_SILENT - 1)
        expectThat(workers.canSend("w1", 200)).isTrue()
        workers.onSent("w1")
        expectThat(workers.canSend("w1", 200)).isFalse()
        expectThat(workers.canSend("w2", 200)).isTrue()
        expectThat(workers.count(200)).isEqualTo(1)
    }

    @Test
    fun `sends on to a worker that answered since the overtaken order`() {
        repeat(10) { workers.onSent("w1") }
        workers.onAnswered("w1", nowMillis = 100)
        workers.onOvertaken("w1", sentMillis = 99, nowMillis = 300)
        expectThat(workers.canSend("w1", 300)).isTrue()
        workers.onOvertaken("w1", sentMillis = 101, nowMillis = 300)
        expectThat(workers.canSend("w1", 300)).isFalse()
    }

    @Test
    fun `trusts a worker that shows a sign of life`() {
        silence("w1", orders = 10)
        expectThat(workers.canSend("w1", 200)).isFalse()
        workers.onSignOfLife("w1", nowMillis = 250)
        expectThat(workers.canSend("w1", 250)).isTrue()
    }

    @Test
    fun `sends to a silent worker again once its orders have failed`() {
        silence("w1", orders = SilentWorkers.MAX_ORDERS_IF_SILENT)
        expectThat(workers.canSend("w1", 200)).isFalse()
        repeat(SilentWorkers.MAX_ORDERS_IF_SILENT) { workers.onLost("w1", nowMillis = 600) }
        expectThat(workers.isSilent("w1", 600)).isTrue()
        expectThat(workers.canSend("w1", 600)).isTrue()
    }

    @Test
    fun `sends single orders to a worker that has left several unanswered`() {
        silence("w1", orders = SilentWorkers.MAX_ORDERS_IF_SILENT)
        repeat(SilentWorkers.MAX_ORDERS_IF_SILENT) { workers.onLost("w1", nowMillis = 600) }
        workers.onSent("w1")
        expectThat(workers.canSend("w1", 600)).isFalse()
        workers.onAnswered("w1", nowMillis = 605)
        expectThat(workers.canSend("w1", 605)).isTrue()
    }

    @Test
    fun `forgets the silence of a worker after a time`() {
        silence("w1", orders = 1)
        workers.onLost("w1", nowMillis = 600)
        workers.forgetExpired(200 + SilentWorkers.SILENCE_MILLIS)
        expectThat(workers.count(200)).isEqualTo(0)
    }
}
