package sycamoremast.emulator

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import strikt.assertions.map
import sycamoremast.coordination.workflow.RunEnd
import sycamoremast.coordination.workflow.TaskName

/** The emulated worker restarts as the users' page says, and no more kindly than that. */
class EmulatedWorkerTest {
    private val pattern = LoadPattern.sharedCalm
    private val worker = EmulatedWorker("w0", 64_000, pattern, emptyMap())
    private val task = TaskName("5c0e7a21d94b36f8", 0, 0, 0)

    // Guards against a model in which a lease by an earlier incarnation's clock is harmless.
    @Test
    fun `each incarnation has a clock that starts anew`() {
        val before = worker.report(nowMillis = 50_000, acknowledged = 0)
        worker.restart(60_000)
        val after = worker.report(nowMillis = 60_100, acknowledged = 0)
        expectThat(after.clockMillis).isLessThan(before.clockMillis)
        expectThat(after.startedUnixMillis!!).isGreaterThan(before.startedUnixMillis!!)
        expectThat(worker.clockMillis(60_400)).isEqualTo(after.clockMillis + 300)
    }

    @Test
    fun `a lease ends the runs and is cut to the longest one`() {
        worker.extendLease(worker.clockMillis(1_000) + HOUR_MILLIS, nowMillis = 1_000)
        begin()
        expectThat(worker.lapse(nowMillis = 1_000 + EmulatedWorker.LONGEST_LEASE_MILLIS - 1))
            .isEmpty()
        expectThat(worker.lapse(nowMillis = 1_000 + EmulatedWorker.LONGEST_LEASE_MILLIS))
            .map { it.task }.containsExactly(task)
        expectThat(worker.runs).isEmpty()
        expectThat(worker.ended).map { it.how }.containsExactly(RunEnd.LAPSED)
    }

    @Test
    fun `a shorter lease does not shorten a longer one`() {
        worker.extendLease(worker.clockMillis(1_000) + 5_000, nowMillis = 1_000)
        worker.extendLease(worker.clockMillis(1_000) + 2_000, nowMillis = 1_000)
        begin()
        expectThat(worker.lapse(nowMillis = 5_999)).isEmpty()
        expectThat(worker.lapse(nowMillis = 6_000)).map { it.task }.containsExactly(task)
    }

    @Test
    fun `an incarnation forgets lease, token and ends`() {
        expectThat(worker.obeys(9)).isTrue()
        expectThat(worker.obeys(8)).isFalse()
        worker.extendLease(worker.clockMillis(1_000) + HOUR_MILLIS, nowMillis = 1_000)
        begin()
        worker.end(worker.runs.getValue(task), RunEnd.DONE)
        worker.restart(2_000)
        expectThat(worker.obeys(1)).isTrue()
        expectThat(worker.ended).isEmpty()
        begin()
        expectThat(worker.lapse(nowMillis = 2_001)).map { it.task }.containsExactly(task)
    }

    private fun begin() {
        val kind = pattern.kinds.first { it.isServing }
        worker.runs[task] =
            EmulatedRun(task, 1, kind, 1_000, 0, 9_000.0, false, 0.0, savesProgress = false)
    }

    private companion object {
        const val HOUR_MILLIS = 3_600_000L
    }
}
