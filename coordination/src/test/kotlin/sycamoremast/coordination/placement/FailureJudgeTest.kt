package sycamoremast.coordination.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.record.JobKey

class FailureJudgeTest {
    private val judge = FailureJudge(attemptsPerTask = 4)
    private val job = JobKey("nets", "survey")
    private var now = 0L

    // Proves: resumed-once | worker-failing | task-placing
    @Test
    fun `a worker that fails every task is quarantined if its peers do not fail them`() {
        listOf("w1", "w2", "w3").forEach { judge.started(job, it) }
        repeat(3) { expectThat(fail(it, "bad")).isA<FailureVerdict.RetryAfterPause>() }
        expectThat(fail(3, "bad")).isA<FailureVerdict.Quarantine>()
            .get { evidence }.contains("its peers 0 of 3")
        expectThat(judge.isBarred("bad", isIdle = true, now)).isTrue()
        expectThat(judge.isBarred("w1", isIdle = true, now)).isFalse()
    }

    @Test
    fun `a quarantined worker returns on trial with one task at a time`() {
        quarantine()
        now += 30_001
        expectThat(judge.isBarred("bad", isIdle = true, now)).isFalse()
        expectThat(judge.isBarred("bad", isIdle = false, now)).isTrue()
        expectThat(fail(9, "bad")).isA<FailureVerdict.Quarantine>()
            .get { untilMillis - now }.isEqualTo(60_000)
        judge.succeeded("bad")
        expectThat(judge.isBarred("bad", isIdle = false, now)).isFalse()
    }

    // Proves: resumed-once | worker-failing | task-accepted
    @Test
    fun `a job that fails on every worker is stopped and no worker is blamed`() {
        val verdicts = listOf("w1", "w2", "w3", "w1").map { fail(0, it) }
        expectThat(verdicts.last()).isEqualTo(
            FailureVerdict.StopJob("task 0 failed 4 times on 3 workers")
        )
        expectThat(judge.quarantined(now)).isEqualTo(emptySet())
    }

    @Test
    fun `failures on a quarantined worker do not count against a job`() {
        quarantine()
        listOf("w1", "w2").forEach { expectThat(fail(0, it)).isA<FailureVerdict.RetryAfterPause>() }
    }

    private fun quarantine() {
        repeat(40) { judge.started(job, "w$it") }
        repeat(4) { fail(0, "bad") }
        expectThat(judge.quarantined(now)).isEqualTo(setOf("bad"))
    }

    private fun fail(index: Int, worker: String): FailureVerdict {
        judge.started(job, worker)
        return judge.failed(job, index, worker, now)
    }
}
