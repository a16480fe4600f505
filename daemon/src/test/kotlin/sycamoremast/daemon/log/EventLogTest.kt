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
    fun `does not block callers while the output is blocked, and counts dropped lines`() {
        val written = LinkedBlockingQueue<String>()
        val outputGate = CountDownLatch(1)
        val firstLineTaken = CountDownLatch(1)
        val log = EventLog(capacity = 2) {
            firstLineTaken.countDown()
            outputGate.await()
            written += it
        }
        log.add("first")
        firstLineTaken.await(10, SECONDS)
        repeat(10) { log.add("refused", "id" to it) }
        outputGate.countDown()
        val lines = List(4) { written.poll(10, SECONDS) }
        expectThat(lines.first()).isEqualTo("event=first")
        expectThat(lines).contains("event=left-out kind=refused count=8")
        log.close()
    }
}
