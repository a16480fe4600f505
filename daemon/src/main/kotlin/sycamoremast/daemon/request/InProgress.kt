/** Counts the requests that have been received and not yet answered whole. */
package sycamoremast.daemon.request

import java.io.FilterInputStream
import java.io.InputStream
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import org.http4k.core.Response

internal class InProgress {
    private val lock = ReentrantLock()
    private val zero = lock.newCondition()
    private var count = 0

    fun count() = lock.withLock { count }

    fun begin() = lock.withLock { count++ }

    fun end() = lock.withLock {
        count--
        if (count == 0) zero.signalAll()
    }

    /** Returns [response], whose request ends when the server has passed its body on. */
    fun endWith(response: Response): Response {
        val body = response.body
        return response.body(OnClose(body.stream, ::end), body.length)
    }

    /** Returns whether the count reached zero within [timeout]. */
    fun awaitZero(timeout: Duration): Boolean = lock.withLock {
        var nanos = timeout.inWholeNanoseconds
        while (count > 0 && nanos > 0) nanos = zero.awaitNanos(nanos)
        count == 0
    }
}

/** Calls [onClose] once when the stream is closed. */
internal class OnClose(input: InputStream, private val onClose: () -> Unit) :
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
