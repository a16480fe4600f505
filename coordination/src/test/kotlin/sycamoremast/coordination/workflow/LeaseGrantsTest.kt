package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Tests of the log of leases that are not extended. */
class LeaseGrantsTest {
    private val driver = SchedulerDriver()

    /** Starts a long-running task on w1; returns its row in reports. */
    private fun startTask(): RunningRow {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("job", driver.taskStep().copy(isLongRunning = true)))
        repeat(20) {
            driver.step()
            driver.starts.firstOrNull()?.let { order ->
                driver.confirmStart(order)
                return RunningRow(order.task, order.run, "", percent = 100, null)
            }
            driver.polls.forEach { driver.report(it) }
        }
        error("the task never starts")
    }

    /** Returns what is logged within [millis], in which polls are answered by [onPoll]. */
    private fun eventsWithin(millis: Long, onPoll: (PollOrder) -> Unit): List<SchedulerEvent> =
        buildList {
            val until = driver.now + millis
            while (driver.now < until) {
                driver.step()
                addAll(driver.actions.filterIsInstance<SchedulerAction.Log>().map { it.event })
                driver.polls.forEach(onPoll)
            }
        }.filter { it.name == "leases-not-extended" }

    @Test
    fun `logs nothing while leases are extended`() {
        val row = startTask()
        expectThat(eventsWithin(5_000) { driver.report(it, listOf(row)) }).isEmpty()
    }

    @Test
    fun `logs once that no lease is extended for lack of a heartbeat, and once they are again`() {
        val row = startTask()
        driver.areRecordsDurableAtOnce = false
        val outage = eventsWithin(10_000) { driver.report(it, listOf(row)) }.single()
        expectThat(outage.fields["obstacles"]).isEqualTo("HEARTBEAT_TOO_OLD:1")
        expectThat(outage.fields["runs"]).isEqualTo(1)
        driver.scheduler.onBatchDurable()
        driver.areRecordsDurableAtOnce = true
        val after = eventsWithin(3_000) { driver.report(it, listOf(row)) }.single()
        expectThat(after.fields["workers"]).isEqualTo(0)
        expectThat(after.fields["leaseLeftMillis"]).isNull()
    }

    @Test
    fun `logs that the lease of an unreachable worker is not extended`() {
        startTask()
        val events = eventsWithin(3_000) { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
        expectThat(events.first().fields["obstacles"]).isEqualTo("UNREACHABLE:1")
        expectThat(events.first().fields["first"]).isEqualTo("w1")
    }
}
