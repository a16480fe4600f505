package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import sycamoremast.coordination.workflow.WorkerAnswer.Rejected
import sycamoremast.coordination.workflow.WorkerAnswer.Unknown

/** Tests of orders that a worker's next incarnation carries out late, as they got no answer. */
class LateOrderTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val stale = Rejected(RejectReason.STALE_TOKEN)

    private fun startOnW1(): StartOrder {
        driver.listWorkers("w1")
        driver.submit(driver.workflow())
        driver.step()
        return driver.starts.single()
    }

    // Guards against ends that a late poll acknowledges to the next incarnation, unread.
    @Test
    fun `a poll that is carried out late acknowledges no end of a later incarnation`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("job", driver.taskStep(2)))
        driver.step()
        val (first, second) = driver.starts.onEach(driver::confirmStart)
        val running = RunningRow(second.task, second.run, "", 50, null)
        val end = EndedRow(1, first.task, first.run, RunEnd.DONE, "")
        driver.report(driver.freshPoll("w1"), listOf(running), listOf(end))
        repeat(3) { driver.step() }
        val late = driver.polls.single()
        expectThat(late.acknowledgedEnd).isEqualTo(1)
        driver.answer(late, Unknown("timeout"))

        val next = ModelWorker(driver.ref("w1"), WORK_MILLIS).apply { restart(driver.now) }
        val answer = next.carryOut(driver.freshPoll("w1"), driver.now) {} as WorkerAnswer.Reported
        val restarted = answer.report.copy(receivedMillis = driver.now)
        driver.answer(driver.polls.single(), WorkerAnswer.Reported(restarted))
        driver.step()
        next.carryOut(driver.starts.single(), driver.now) {}
        val endedMillis = driver.now + WORK_MILLIS
        next.advance(endedMillis)
        expectThat(next.carryOut(late, endedMillis) {}).isEqualTo(stale)
        expectThat(next.doneEnds.filter { it.isAcknowledged }).isEmpty()
    }

    // Guards against a task that a late start runs on the next incarnation beside its second run.
    @Test
    fun `a run stopped in an earlier incarnation is absent once a later token was accepted`() {
        val start = startOnW1()
        scheduler.onStartAnswer(start, Unknown("timeout"), driver.now)
        driver.report(driver.freshPoll("w1"))
        driver.step()
        scheduler.onStopAnswer(
            driver.stops.single(),
            WorkerAnswer.Done(driver.now, driver.now),
            driver.now
        )
        driver.report(driver.freshPoll("w1"), started = 2)
        driver.step()
        expectThat(driver.starts).isEmpty()
        val fencing = driver.polls.single()
        expectThat(fencing.fencingToken).isGreaterThan(start.fencingToken)
        driver.report(fencing, started = 2)
        do driver.step() while (driver.starts.isEmpty() && driver.now < START_BY_MILLIS)
        expectThat(driver.starts.single().run).isGreaterThan(start.run)
    }

    @Test
    fun `orders after a failed poll fence those before it`() {
        val start = startOnW1()
        driver.answer(driver.polls.single(), Unknown("connection reset"))
        val fencing = driver.freshPoll("w1")
        expectThat(fencing.fencingToken).isGreaterThan(start.fencingToken)
        driver.answer(fencing, Unknown("connection reset"))
        expectThat(driver.freshPoll("w1").fencingToken).isEqualTo(fencing.fencingToken)
    }

    @Test
    fun `a worker that is listed again gets a higher token than before`() {
        val start = startOnW1().also(driver::confirmStart)
        driver.answer(driver.polls.single(), Rejected(RejectReason.OTHER_INCARNATION))
        scheduler.onWorkerListed(driver.listing("w1"), driver.now)
        expectThat(driver.freshPoll("w1").fencingToken).isGreaterThan(start.fencingToken)
    }

    // Guards against an owner that gives up as a worker rejects an order which it has overtaken.
    @Test
    fun `a start that a later order has fenced starts again and deposes nobody`() {
        val start = startOnW1()
        driver.answer(driver.polls.single(), Unknown("connection reset"))
        driver.report(driver.freshPoll("w1"))
        scheduler.onStartAnswer(start, stale, driver.now)
        driver.step()
        expectThat(driver.actions.filterIsInstance<SchedulerAction.Depose>()).isEmpty()
        val again = driver.starts.single()
        expectThat(again.run).isGreaterThan(start.run)
        scheduler.onStartAnswer(again, stale, driver.now)
        expectThat(driver.step()).contains(SchedulerAction.Depose(again.worker))
    }

    // Guards against an owner whose orders its successor's token doesn't fence.
    @Test
    fun `tokens stay below those of the next epoch`() {
        startOnW1()
        repeat(RESTARTS) { driver.report(driver.freshPoll("w1"), started = it + 2L) }
        val next = SchedulerDriver(epoch = 2)
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        expectThat(
            driver.freshPoll("w1").fencingToken
        ).isLessThan(next.freshPoll("w1").fencingToken)
    }

    // Guards against a late start beside the task's next run, as nothing is sent to an idle worker.
    @Test
    fun `a worker that has restarted while idle soon gets an order with the higher token`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("job", driver.taskStep(2)))
        driver.step()
        val (late, ended) = driver.starts
        driver.confirmStart(ended)
        scheduler.onStartAnswer(late, Unknown("timeout"), driver.now)
        // The worker drains, so that nothing else starts there, and the store is slow.
        scheduler.onWorkerListed(driver.listing("w1", isDraining = true), driver.now)
        driver.areRecordsDurableAtOnce = false
        val running = RunningRow(ended.task, ended.run, "", 50, null)
        driver.report(driver.freshPoll("w1"), listOf(running))
        driver.step()
        val stop = driver.stops.single { it.task == late.task }
        scheduler.onStopAnswer(stop, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        val end = EndedRow(1, ended.task, ended.run, RunEnd.DONE, "")
        driver.report(driver.freshPoll("w1"), ended = listOf(end))

        val next = ModelWorker(driver.ref("w1"), WORK_MILLIS).apply { restart(driver.now) }
        repeat(STEPS) {
            driver.step()
            for (poll in driver.polls) {
                val answer = next.carryOut(poll, driver.now) {} as WorkerAnswer.Reported
                val report = answer.report.copy(receivedMillis = driver.now)
                driver.answer(poll, WorkerAnswer.Reported(report))
            }
        }
        expectThat(next.carryOut(late, driver.now) {}).isEqualTo(stale)
    }

    private companion object {
        /** Several times as long as a report of an idle worker may be due. */
        const val STEPS = 80
        const val WORK_MILLIS = 400L
        const val START_BY_MILLIS = 5_000L
        const val RESTARTS = 20
    }
}
