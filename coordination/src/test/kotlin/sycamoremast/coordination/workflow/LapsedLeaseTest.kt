package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Tests of workers that are unreachable until their lease lapses. */
class LapsedLeaseTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    /** Starts a task on w1, then adds w2; returns the start and when the lease of w1 has lapsed. */
    private fun startOnUnreachableWorker(): Pair<StartOrder, Long> {
        driver.listWorkers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val order = driver.starts.single().also(driver::confirmStart)
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        driver.polls.filter { it.worker.id == "w2" }.forEach { driver.report(it) }
        driver.step(10)
        val lastGrantMillis = driver.polls.last { it.leaseEndMillis != null }.sentMillis
        return order to SchedulerSettings().lapsedBy(lastGrantMillis)
    }

    /**
     * Steps while [condition] holds, passing polls of w1 to [onPoll]; returns the ordered starts.
     */
    private fun stepWhile(condition: () -> Boolean, onPoll: (PollOrder) -> Unit): List<StartOrder> =
        buildList {
            while (condition()) {
                driver.step(10)
                addAll(driver.starts)
                driver.polls.filter { it.worker.id == "w2" }.forEach { driver.report(it) }
                driver.polls.filter { it.worker.id == "w1" }.forEach(onPoll)
            }
        }

    // Guards against a task that runs again although its worker is reachable and reports its end.
    @Test
    fun `polls a worker that becomes reachable as its lease lapses before restarting its tasks`() {
        val (order, lapsedMillis) = startOnUnreachableWorker()
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
    fun `restarts the tasks of an unreachable worker soon after its lease has lapsed`() {
        val (_, lapsedMillis) = startOnUnreachableWorker()
        stepWhile({ driver.starts.isEmpty() && driver.now < lapsedMillis + 5_000 }) {
            if (driver.now - it.sentMillis >=
                600
            ) {
                driver.answer(it, WorkerAnswer.Unknown("timeout"))
            }
        }
        expectThat(driver.now).isLessThan(lapsedMillis + 1_400)
    }

    // Guards against a poll that is in flight when the lease lapses and delays the final one.
    @Test
    fun `sends the final poll of an unreachable worker at once when its lease lapses`() {
        for (delayMillis in 0L until POLL_TIMEOUT_MILLIS step 50) {
            val test = LapsedLeaseTest()
            val (_, lapsedMillis) = test.startOnUnreachableWorker()
            val until = lapsedMillis + 5_000
            test.stepWhile({ test.driver.starts.isEmpty() && test.driver.now < until }) {
                val isFirst = it.leaseEndMillis != null
                val timeout = POLL_TIMEOUT_MILLIS + if (isFirst) delayMillis else 0
                if (test.driver.now - it.sentMillis >= timeout) {
                    test.driver.answer(it, WorkerAnswer.Unknown("timeout"))
                }
            }
            expectThat(test.driver.now).isLessThan(lapsedMillis + POLL_TIMEOUT_MILLIS + 100)
        }
    }

    private companion object {
        const val POLL_TIMEOUT_MILLIS = 600L
    }
}
