/** Pauses between repeated calls that failed. */
package sycamoremast.coordination.shard

/** An exponential pause from [firstMillis] up to [MOST_MILLIS]. */
internal class BackOff(private val firstMillis: Long) {
    private var pauseMillis = firstMillis
    private var untilMillis = Long.MIN_VALUE

    fun isOver(nowMillis: Long) = nowMillis >= untilMillis

    fun failed(nowMillis: Long) {
        untilMillis = nowMillis + pauseMillis
        pauseMillis = (pauseMillis * 2).coerceAtMost(MOST_MILLIS)
    }

    fun succeeded() {
        pauseMillis = firstMillis
        untilMillis = Long.MIN_VALUE
    }

    private companion object {
        const val MOST_MILLIS = 2_000L
    }
}
