/** Counts operations in progress and waits for their end. */
package sycamoremast.daemon.request

import java.io.FilterInputStream
import java.io.InputStream
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import org.http4k.core.Response

/** A counter of operations in progress, on which a thread can wait until it is zero. */
internal class InProgressCounter {
    private val lock = ReentrantLock()
    private val reachedZero = lock.newCondition()
    private var count = 0

    fun count() = lock.withLock { count }

    fun begin() = lock.withLock { count++ }

    fun end() = lock.withLock {
        count--
        if (count == 0) reachedZero.signalAll()
    }

    /** Returns [response] with a body that calls [end] when the server closes it after sending. */
    fun endOnClose(response: Response): Response {
        val body = response.body
        return response.body(OnCloseInputStream(body.stream, ::end), body.length)
    }

    /** Waits up to [timeout] for the count to be zero, and returns whether it is. */
    fun awaitZero(timeout: Duration): Boolean = lock.withLock {
        var nanos = timeout.inWholeNanoseconds
        while (count > 0 && nanos > 0) nanos = reachedZero.awaitNanos(nanos)
        count == 0
    }
}

/** A stream that calls [onClose] once when it is closed. */
internal class OnCloseInputStream(input: InputStream, private val onClose: () -> Unit) :
    FilterInputStream(input) {
    private val closed = AtomicBoolean()

    override fun close() {
        try {
            super.close()
        } finally {
            if (closed.compareAndSet(false, true)) onClose()
        }
    }
}
