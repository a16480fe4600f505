/** Delays between retries of failed calls. */
package sycamoremast.coordination.shard

/** A delay that doubles with each failure, from [initialDelayMillis] up to [MAX_DELAY_MILLIS]. */
internal class ExponentialBackoff(private val initialDelayMillis: Long) {
    private var delayMillis = initialDelayMillis

    /** The earliest time of the next attempt. */
    var nextAttemptMillis = Long.MIN_VALUE
        private set

    fun isAttemptDue(nowMillis: Long) = nowMillis >= nextAttemptMillis

    fun recordFailure(nowMillis: Long) {
        nextAttemptMillis = nowMillis + delayMillis
        delayMillis = (delayMillis * 2).coerceAtMost(MAX_DELAY_MILLIS)
    }

    fun reset() {
        delayMillis = initialDelayMillis
        nextAttemptMillis = Long.MIN_VALUE
    }

    private companion object {
        const val MAX_DELAY_MILLIS = 2_000L
    }
}
