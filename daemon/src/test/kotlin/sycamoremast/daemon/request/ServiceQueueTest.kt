/** Tests the slots of one service in virtual time. */
package sycamoremast.daemon.request

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import sycamoremast.coordination.request.Arrival
import sycamoremast.coordination.request.RunTimeKey
import sycamoremast.coordination.request.SlotLedger

class ServiceQueueTest {
    private val ledger = SlotLedger("entry-1", TEST_SETTINGS.slotTimes)
    private val backend = Backend(FakeHostList.backend(port = 1, slots = 1))
    private val queue = ServiceQueue(queueLimit = 10, ledger, Random(1), ZONE).also {
        it.backends = listOf(backend)
    }

    // Proves: not-run-true | slow | request-answering
    @Test
    fun `keeps the slot of an abandoned request occupied for as long as the request ran`() {
        ledger.observe(emptyMap(), 0)
        val granted = checkNotNull(offer(0.0).decision) as Decision.Granted
        ledger.observe(emptyMap(), 1_500)
        queue.abandon(granted, 1_500.0)
        val next = offer(1_501.0)
        queue.dispatch(2_999.0)
        expectThat(next.decision).isNull()
        queue.dispatch(3_000.0)
        expectThat(next.decision).isA<Decision.Granted>()
        expectThat(backend.slotsInUse).isEqualTo(1)
    }

    private fun offer(nowMillis: Double) = Ticket(emptySet()).also {
        queue.offer(Arrival(RunTimeKey("inspectors", "photos"), 10.0, 20_000.0), it, nowMillis)
    }
}
