/** Time that only a test moves on; pausing moves it on at once. */
package sycamoremast.coordination

import java.util.concurrent.atomic.AtomicLong
import sycamoremast.coordination.store.Pause

/** A clock and a pause over one counter of milliseconds. */
class ManualTime :
    MonotonicClock,
    Pause {
    private val millis = AtomicLong()

    override fun nowMillis() = millis.get()

    override fun pause(millis: Long) {
        this.millis.addAndGet(millis)
    }
}
