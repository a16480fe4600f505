/** Slots of timed-out requests that their backend servers may still be running. */
package sycamoremast.daemon.request

/** Keeps abandoned slots occupied until they expire; guarded by the dispatcher's lock. */
internal class AbandonedSlots {
    private class HeldSlot(val backend: Backend, val untilMillis: Double)

    private val heldSlots = mutableListOf<HeldSlot>()

    /**
     * Keeps a slot of [backend] occupied for as long again as its request has run, [ranMillis].
     *
     * The time is limited to the range from [MIN_MILLIS] to [MAX_MILLIS].
     */
    fun hold(backend: Backend, ranMillis: Double, nowMillis: Double) {
        heldSlots += HeldSlot(backend, nowMillis + ranMillis.coerceIn(MIN_MILLIS, MAX_MILLIS))
    }

    /** Releases the slots whose holding time has expired. */
    fun releaseExpired(nowMillis: Double) {
        val expired = heldSlots.filter { it.untilMillis <= nowMillis }
        expired.forEach { it.backend.slotsInUse-- }
        heldSlots -= expired.toSet()
    }

    private companion object {
        const val MIN_MILLIS = 1_000.0
        const val MAX_MILLIS = 10_000.0
    }
}
