package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Workers that are out of reach for as long as their lease lasts. */
class LapsedLeaseTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    /** Starts a task on the only worker and lets it out of reach; returns when its lease lapses. */
    private fun unreachable(): Pair<StartOrder, Long> {
        driver.workers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val order = driver.starts.single().also(driver::done)
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        driver.polls.filter { it.worker.id == "w2" }.forEach { driver.report(it) }
        val granted = driver.polls.last { it.leaseEndMillis != null }.sentMillis
        return order to SchedulerSettings().lapsedBy(granted)
    }

    /** Returns the starts that were ordered while [condition] held. */
    private fun stepWhile(condition: () -> Boolean, onPoll: (PollOrder) -> Unit): List<StartOrder> =
        buildList {
            while (condition()) {
                driver.step(10)
                addAll(driver.starts)
                driver.polls.filter { it.worker.id == "w2" }.forEach { driver.report(it) }
                driver.polls.filter { it.worker.id == "w1" }.forEach(onPoll)
            }
        }

    // Guards against a task that runs again although its worker is back and lists its end.
    @Test
    fun `a worker that is back as its lease lapses is asked before its tasks restart`() {
        val (order, lapsedMillis) = unreachable()
        stepWhile({ driver.now < lapsedMillis - 30 }) {
            driver.answer(it, WorkerAnswer.Unknown("timeout"))
        }
        val end = EndedRow(1, order.task, order.run, RunEnd.DONE, "")
        val again = stepWhile({ driver.now < lapsedMillis + 1_000 }) { poll ->
            if (driver.now - poll.sentMillis > 100) driver.report(poll, ended = listOf(end))
        }
        expectThat(again).isEmpty()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.COMPLETED)
    }

    @Test
    fun `a worker that stays out of reach delays its tasks by little more than its lease`() {
        val (_, lapsedMillis) = unreachable()
        stepWhile({ driver.starts.isEmpty() && driver.now < lapsedMillis + 5_000 }) {
            if (driver.now - it.sentMillis >=
                600
            ) {
                driver.answer(it, WorkerAnswer.Unknown("timeout"))
            }
        }
        expectThat(driver.now).isLessThan(lapsedMillis + 1_400)
    }
}
