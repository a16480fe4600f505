/** A request's place in the queue, on which its thread waits. */
package sycamoremast.daemon.request

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import sycamoremast.coordination.request.WaitingRequest

/** Whether a request got a slot. */
internal sealed interface Decision {
    /** The request may be sent to [backend], one of whose slots it holds since [atMillis]. */
    data class Granted(val backend: Backend, val request: WaitingRequest, val atMillis: Double) :
        Decision

    /** The request gets no slot; its caller may come back after [retryAfter]. */
    data class Refused(val reason: String, val retryAfter: Duration) : Decision
}

/** Waits for one [Decision]; servers in [avoid] are taken only if there are no others. */
internal class Ticket(val avoid: Set<String>) {
    private val latch = CountDownLatch(1)

    /** The decision, once there is one. */
    @Volatile
    var decision: Decision? = null
        private set

    fun decide(decision: Decision) {
        this.decision = decision
        latch.countDown()
    }

    /** Waits for [millis]; returns the decision if it was made by then. */
    fun await(millis: Double): Decision? {
        latch.await((millis * MICROS_PER_MILLI).toLong(), TimeUnit.MICROSECONDS)
        return decision
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000
    }
}
