package sycamoremast.daemon.log

import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.SECONDS
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class EventLogTest {
    @Test
    fun `a blocked output holds nobody up, and what was left out is counted`() {
        val written = LinkedBlockingQueue<String>()
        val gate = CountDownLatch(1)
        val taken = CountDownLatch(1)
        val log = EventLog(capacity = 2) {
            taken.countDown()
            gate.await()
            written += it
        }
        log.add("first")
        taken.await(10, SECONDS)
        repeat(10) { log.add("refused", "id" to it) }
        gate.countDown()
        val lines = List(4) { written.poll(10, SECONDS) }
        expectThat(lines.first()).isEqualTo("event=first")
        expectThat(lines).contains("event=left-out kind=refused count=8")
        log.close()
    }
}
