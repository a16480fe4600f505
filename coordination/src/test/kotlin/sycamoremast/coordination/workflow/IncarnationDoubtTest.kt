package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.none
import sycamoremast.coordination.Resources

/**
 * Tests of orders to a worker that may have restarted under its ID.
 *
 * Its next incarnation has another clock. A time of the earlier one may lie far ahead there, so that
 * the worker shortens the lease to the longest that it accepts, which no owner counts on.
 */
class IncarnationDoubtTest {
    private var driver = SchedulerDriver()
    private val scheduler get() = driver.scheduler

    /** Starts a long-running task on w1 and leaves a poll open that waits; returns its start. */
    private fun runOnW1(): StartOrder {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("lasting", LASTING))
        repeat(SETTLE_STEPS) {
            driver.step()
            val start = driver.starts.singleOrNull()
            if (start != null) {
                driver.confirmStart(start)
                answerRunning(start)
                return start
            }
            driver.polls.forEach { driver.report(it) }
        }
        error("the task doesn't start")
    }

    private fun row(start: StartOrder) = RunningRow(start.task, start.run, "", 100, null)

    /** Answers polls of [start]'s worker until one waits for the end of a run. */
    private fun answerRunning(start: StartOrder) {
        repeat(SETTLE_STEPS) {
            driver.step()
            val (waiting, others) = driver.polls.partition { it.waitMillis > 0 }
            others.forEach { driver.report(it, listOf(row(start))) }
            if (waiting.isNotEmpty()) return
        }
        error("no poll waits")
    }

    // Guards against a lease by the clock of an incarnation that is gone (TWICE).
    @Test
    fun `starts nothing while the last report is older than a restart may take`() {
        driver = SchedulerDriver(settings = SchedulerSettings.within(LONGEST_LEASE_MILLIS, 200))
        val first = runOnW1()
        driver.step(OLD_REPORT_MILLIS)
        driver.submit(driver.workflow("next"))
        driver.step()
        expectThat(driver.starts).isEmpty()
        val introduction = driver.polls.single { it.waitMillis == 0L }
        expectThat(introduction.leaseEndMillis).isNull()
        driver.report(introduction, listOf(row(first)))
        driver.step()
        expectThat(driver.starts.single().task.workflow).isEqualTo("next")
    }

    // Guards against a lease by the clock of an incarnation that is gone (TWICE).
    @Test
    fun `grants no lease by the next poll after an unanswered start`() {
        val first = runOnW1()
        driver.submit(driver.workflow("next"))
        driver.step()
        val start = driver.starts.single()
        driver.polls.forEach { driver.report(it, listOf(row(first))) }
        scheduler.onStartAnswer(start, WorkerAnswer.Unknown("timeout"), driver.now)
        driver.step()
        val next = driver.polls.single()
        expectThat(next.leaseEndMillis).isNull()
        driver.report(next, listOf(row(first)))
        expectThat(driver.freshPoll("w1").leaseEndMillis).isNotNull()
    }

    // Guards against a lease by the clock of an incarnation that is gone (TWICE).
    @Test
    fun `grants no lease after a failed poll because a start was answered`() {
        val first = runOnW1()
        driver.submit(driver.workflow("next"))
        driver.step()
        val start = driver.starts.single()
        driver.polls.forEach { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
        scheduler.onStartAnswer(start, WorkerAnswer.Done(0, driver.now), driver.now)
        val next = driver.freshPoll("w1")
        expectThat(next.leaseEndMillis).isNull()
        expectThat(next.fencingToken).isGreaterThan(start.fencingToken)
        driver.report(next, listOf(row(first), row(start)))
        expectThat(driver.freshPoll("w1").leaseEndMillis).isNotNull()
    }

    // Guards against starts on a worker that has not answered since a call failed (TWICE).
    @Test
    fun `starts nothing between an unanswered start and the next report`() {
        val first = runOnW1()
        driver.submit(driver.workflow("next"))
        driver.step()
        val start = driver.starts.single()
        scheduler.onStartAnswer(start, WorkerAnswer.Unknown("timeout"), driver.now)
        driver.submit(driver.workflow("last"))
        driver.step()
        expectThat(driver.starts).isEmpty()
        driver.polls.forEach { driver.report(it, listOf(row(first), row(start))) }
        driver.step()
        expectThat(driver.starts.single().task.workflow).isEqualTo("last")
    }

    // Guards against a restart that goes unnoticed until the open poll has timed out.
    @Test
    fun `asks for the incarnation beside an open poll when an entry tells of a later one`() {
        val listed = driver.listing("w1").copy(startedUnixMillis = 1)
        scheduler.onWorkersListed(listOf(listed), driver.now)
        runOnW1()
        val waiting = driver.polls.single()
        scheduler.onWorkerListed(listed.copy(startedUnixMillis = 2), driver.now)
        driver.step()
        val introduction = driver.polls.single { it != waiting }
        expectThat(introduction.waitMillis).isEqualTo(0)
        driver.report(introduction, started = 2)
        expectThat(driver.step().filterIsInstance<SchedulerAction.Log>().map { it.event.name })
            .any { isEqualTo("run-vanished") }
    }

    // Guards against a worker that counts as lost because one fault failed two polls at a time.
    @Test
    fun `takes polls that fail at the same time for one failure`() {
        val first = runOnW1()
        driver.submit(driver.workflow("next"))
        driver.step()
        val start = driver.starts.single()
        scheduler.onStartAnswer(start, WorkerAnswer.Unknown("timeout"), driver.now)
        driver.step()
        val open = driver.polls.also { check(it.size == 2) }
        open.forEach { driver.answer(it, WorkerAnswer.Unknown("relay disconnected")) }
        val events = driver.step(1).filterIsInstance<SchedulerAction.Log>().map { it.event.name }
        expectThat(events).none { isEqualTo("task-suspected") }
        driver.report(driver.freshPoll("w1"), listOf(row(first), row(start)))
    }

    // Guards against starts that wait for the record of ends although the worker would report.
    @Test
    fun `asks for the incarnation although ends wait to be recorded`() {
        driver = SchedulerDriver(settings = SchedulerSettings.within(LONGEST_LEASE_MILLIS, 200))
        val first = runOnW1()
        driver.areRecordsDurableAtOnce = false
        val end = EndedRow(1, first.task, first.run, RunEnd.FAILED, "")
        driver.polls.forEach { driver.report(it, ended = listOf(end)) }
        driver.step(OLD_REPORT_MILLIS)
        driver.submit(driver.workflow("next"))
        driver.step()
        expectThat(driver.polls).isNotEmpty()
    }

    private companion object {
        val LASTING = WorkflowStep(
            1,
            Resources(1_000, 1_000),
            isLongRunning = true
        )

        /** The longest lease that workers accept, longer than any that an owner grants. */
        const val LONGEST_LEASE_MILLIS = 10_000L

        /** Longer than the time that is assumed to be too short for a restart. */
        const val OLD_REPORT_MILLIS = 300L

        /** Enough for a long-running task to settle and for records to become durable. */
        const val SETTLE_STEPS = 20
    }
}
