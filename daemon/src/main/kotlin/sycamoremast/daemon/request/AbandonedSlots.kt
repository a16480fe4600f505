/** Slots of requests that were given up on while their backend servers may still work on them. */
package sycamoremast.daemon.request

/** Holds abandoned slots for a while; guarded by the dispatcher's lock. */
internal class AbandonedSlots {
    private class Held(val backend: Backend, val untilMillis: Double)

    private val held = mutableListOf<Held>()

    /** Holds a slot of [backend] whose request has run for [ranMillis], for as long again. */
    fun hold(backend: Backend, ranMillis: Double, nowMillis: Double) {
        held += Held(backend, nowMillis + ranMillis.coerceIn(MIN_MILLIS, MAX_MILLIS))
    }

    /** Frees the slots whose time is over. */
    fun free(nowMillis: Double) {
        val over = held.filter { it.untilMillis <= nowMillis }
        over.forEach { it.backend.inUse-- }
        held -= over.toSet()
    }

    private companion object {
        const val MIN_MILLIS = 1_000.0
        const val MAX_MILLIS = 10_000.0
    }
}
