/** How long a job's tasks are expected to run, as declared and as learned. */
package sycamoremast.coordination.placement

/**
 * An estimate that starts from [declaredMillis] and follows what is measured.
 *
 * The declared time counts as much as one measured run, so that a wrong one is soon outweighed.
 */
data class ExpectedTime(
    private val declaredMillis: Long,
    private val measuredMillis: Long = 0,
    private val runs: Int = 0,
    private val longestOpenMillis: Long = 0
) {
    /** The expected time of one run, at the least as long as a run that still goes on. */
    val millis: Long
        get() = ((declaredMillis + measuredMillis) / (runs + 1)).coerceAtLeast(longestOpenMillis)

    /** Returns this estimate with a run that took [tookMillis]. */
    fun withRun(tookMillis: Long) =
        copy(measuredMillis = measuredMillis + tookMillis, runs = runs + 1)

    /** Returns this estimate with a run that has gone on for [elapsedMillis]. */
    fun withOpenRun(elapsedMillis: Long) =
        copy(longestOpenMillis = maxOf(longestOpenMillis, elapsedMillis))
}
