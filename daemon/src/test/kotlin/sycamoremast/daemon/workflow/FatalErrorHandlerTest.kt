package sycamoremast.daemon.workflow

import java.util.concurrent.CopyOnWriteArrayList
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.single
import sycamoremast.daemon.log.EventLog

class FatalErrorHandlerTest {
    private val lines = CopyOnWriteArrayList<String>()
    private var halts = 0
    private val handler = FatalErrorHandler(EventLog { lines += it }) { halts++ }

    // Guards against a host that is ready, or owner, without one of its threads.
    @Test
    fun `logs an error and halts the process`() {
        val thread = Thread({ throw OutOfMemoryError("planned by the test") }, "election")
        thread.uncaughtExceptionHandler = handler
        thread.start()
        thread.join()
        expectThat(halts).isEqualTo(1)
        expectThat(lines.toList()).single().contains("thread=election")
    }

    @Test
    fun `goes on after an exception of a thread that is not its own`() {
        handler.uncaughtException(Thread("pool"), IllegalStateException("planned by the test"))
        expectThat(halts).isEqualTo(0)
    }
}
