/** Checks the starts of an emulation against the capacity of the workers. */
package sycamoremast.emulator

/** Records by how much later than a change of the capacity starts still ignore it. */
internal class CapacityAudit(private val shrinking: ShrinkingWorkers) {
    /** The longest time after the shrinking at which a start exceeded a worker's capacity. */
    var longestExcessMillis = 0L
        private set

    /**
     * The time between the first entry with the capacity that has grown again and the first start
     * that needs it, or null if there was none.
     */
    var regainMillis: Long? = null
        private set
    private var grownMillis: Long? = null

    /** Records that a worker whose capacity shrinks has written its entry. */
    fun onListed(nowMillis: Long) {
        if (nowMillis >= shrinking.untilMillis) grownMillis = grownMillis ?: nowMillis
    }

    /** Checks the runs of [worker], one of which has just started. */
    fun onStarted(worker: EmulatedWorker, nowMillis: Long) {
        if (nowMillis < shrinking.fromMillis || worker.fits(shrinking.share)) return
        if (nowMillis < shrinking.untilMillis) {
            longestExcessMillis = maxOf(longestExcessMillis, nowMillis - shrinking.fromMillis)
        } else {
            val grown = grownMillis ?: return
            regainMillis = regainMillis ?: (nowMillis - grown)
        }
    }
}
