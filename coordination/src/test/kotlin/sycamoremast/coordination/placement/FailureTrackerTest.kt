/** Tests the attribution of failures to workers and jobs. */
package sycamoremast.coordination.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.record.JobKey

class FailureTrackerTest {
    private val tracker = FailureTracker(attemptsPerTask = 4)
    private val job = JobKey("nets", "survey")
    private var now = 0L

    // Proves: resumed-once | worker-failing | task-placing
    @Test
    fun `quarantines a worker that fails every task if its peers do not fail`() {
        listOf("w1", "w2", "w3").forEach { tracker.recordStart(job, it) }
        repeat(3) { expectThat(fail(it, "bad")).isA<FailureAction.RetryAfterPause>() }
        expectThat(fail(3, "bad")).isA<FailureAction.Quarantine>()
            .get { evidence }.contains("its peers 0 of 3")
        expectThat(tracker.isBarred("bad", isIdle = true, now)).isTrue()
        expectThat(tracker.isBarred("w1", isIdle = true, now)).isFalse()
    }

    @Test
    fun `a worker is on probation after a quarantine with one task at a time`() {
        quarantine()
        now += 30_001
        expectThat(tracker.isBarred("bad", isIdle = true, now)).isFalse()
        expectThat(tracker.isBarred("bad", isIdle = false, now)).isTrue()
        expectThat(fail(9, "bad")).isA<FailureAction.Quarantine>()
            .get { untilMillis - now }.isEqualTo(60_000)
        tracker.recordSuccess("bad")
        expectThat(tracker.isBarred("bad", isIdle = false, now)).isFalse()
    }

    // Proves: resumed-once | worker-failing | task-accepted
    @Test
    fun `stops a job that fails on every worker and quarantines no worker`() {
        val actions = listOf("w1", "w2", "w3", "w1").map { fail(0, it) }
        expectThat(actions.last()).isEqualTo(
            FailureAction.StopJob("task 0 failed 4 times on 3 workers")
        )
        expectThat(tracker.quarantined(now)).isEqualTo(emptySet())
    }

    @Test
    fun `ignores failures on a quarantined worker when stopping jobs`() {
        quarantine()
        listOf("w1", "w2").forEach { expectThat(fail(0, it)).isA<FailureAction.RetryAfterPause>() }
    }

    private fun quarantine() {
        repeat(40) { tracker.recordStart(job, "w$it") }
        repeat(4) { fail(0, "bad") }
        expectThat(tracker.quarantined(now)).isEqualTo(setOf("bad"))
    }

    private fun fail(index: Int, worker: String): FailureAction {
        tracker.recordStart(job, worker)
        return tracker.recordFailure(job, index, worker, now)
    }
}
