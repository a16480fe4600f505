/** Estimates the run time of a job's tasks. */
package sycamoremast.coordination.placement

/**
 * The mean of the declared run time and the measured run times.
 *
 * The declared time has the weight of one measured run, so a wrong one is soon outweighed.
 */
data class ExpectedRunTime(
    private val declaredMillis: Long,
    private val measuredMillis: Long = 0,
    private val runs: Int = 0,
    private val inProgressMillis: Long = 0
) {
    /** The expected time of one run, which is at least that of the longest run in progress. */
    val millis: Long
        get() = ((declaredMillis + measuredMillis) / (runs + 1)).coerceAtLeast(inProgressMillis)

    /** Returns this estimate updated by a completed run of [runMillis]. */
    fun withRun(runMillis: Long) =
        copy(measuredMillis = measuredMillis + runMillis, runs = runs + 1)

    /** Returns this estimate updated by a run in progress that started [elapsedMillis] ago. */
    fun withRunInProgress(elapsedMillis: Long) =
        copy(inProgressMillis = maxOf(inProgressMillis, elapsedMillis))
}
