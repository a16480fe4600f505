/** Time that only pauses advance, without waiting. */
package sycamoremast.coordination

import java.util.concurrent.atomic.AtomicLong
import sycamoremast.coordination.store.Pause

/** A clock and a pause that share one counter of milliseconds. */
class ManualTime :
    MonotonicClock,
    Pause {
    private val millis = AtomicLong()

    override fun nowMillis() = millis.get()

    override fun pause(millis: Long) {
        this.millis.addAndGet(millis)
    }
}
