/** Pauses between repeated calls that failed. */
package sycamoremast.coordination.shard

/** An exponential pause from [firstMillis] up to [MOST_MILLIS]. */
internal class BackOff(private val firstMillis: Long) {
    private var pauseMillis = firstMillis

    /** When the pause is over. */
    var overMillis = Long.MIN_VALUE
        private set

    fun isOver(nowMillis: Long) = nowMillis >= overMillis

    fun failed(nowMillis: Long) {
        overMillis = nowMillis + pauseMillis
        pauseMillis = (pauseMillis * 2).coerceAtMost(MOST_MILLIS)
    }

    fun succeeded() {
        pauseMillis = firstMillis
        overMillis = Long.MIN_VALUE
    }

    private companion object {
        const val MOST_MILLIS = 2_000L
    }
}
