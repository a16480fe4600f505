package sycamoremast.daemon.workflow

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit.SECONDS
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.MonotonicClock

class StoreProbeTest {
    private val asked = AtomicInteger()
    private val end = CountDownLatch(1)
    private val isLost = AtomicBoolean(true)

    private fun probe(ask: (number: Int) -> Boolean) =
        StoreProbe(MonotonicClock.system(), isLost::get) {
            if (ask(asked.incrementAndGet())) isLost.set(false)
        }

    // Guards against a store that is back while calls sent before still wait for their timeouts.
    @Test
    fun `sends probes while earlier ones are unanswered`() {
        val probe = probe { number -> number > 3 || end.await(10, SECONDS) }
        expectThat(probe.awaitAnswer(5_000)).isTrue()
        expectThat(asked.get()).isEqualTo(4)
        end.countDown()
    }

    @Test
    fun `sends no more probes than can wait for their timeouts`() {
        val probe = probe { end.await(10, SECONDS) }
        expectThat(probe.awaitAnswer(1_200)).isFalse()
        expectThat(asked.get()).isEqualTo(8)
        end.countDown()
    }

    @Test
    fun `waits no longer than asked while the store rejects probes`() {
        val probe = probe { false }
        expectThat(probe.awaitAnswer(250)).isFalse()
    }

    // Guards against waits for a read where the store rejects reads and answers other calls.
    @Test
    fun `waits no more once another call is answered`() {
        val probe = probe { number ->
            if (number == 2) isLost.set(false)
            false
        }
        expectThat(probe.awaitAnswer(60_000)).isTrue()
    }
}
