/** The handle on which the thread of a queued request waits for its slot. */
package sycamoremast.daemon.request

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import sycamoremast.coordination.request.WaitingRequest

/** The decision whether a request gets a slot. */
internal sealed interface Decision {
    /** The request may be sent to [backend]; it has occupied a slot there since [atMillis]. */
    data class Granted(val backend: Backend, val request: WaitingRequest, val atMillis: Double) :
        Decision

    /** The request gets no slot; its caller may retry after [retryAfter]. */
    data class Refused(val reason: String, val retryAfter: Duration) : Decision
}

/** Waits for one [Decision]; backend servers in [avoid] are chosen only if no other is free. */
internal class Ticket(val avoid: Set<String>) {
    private val latch = CountDownLatch(1)

    /** The decision, or null until it is made. */
    @Volatile
    var decision: Decision? = null
        private set

    fun decide(decision: Decision) {
        this.decision = decision
        latch.countDown()
    }

    /** Waits up to [millis] for the decision; returns null if it was not made by then. */
    fun await(millis: Double): Decision? {
        latch.await((millis * MICROS_PER_MILLI).toLong(), TimeUnit.MICROSECONDS)
        return decision
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000
    }
}
