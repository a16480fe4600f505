package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import sycamoremast.coordination.Resources

/** Tests of changes of a run's pace that a later order has overtaken. */
class FencedPaceTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val orders = ArrayList<StartOrder>()
    private var tailMillis = 20.0

    private val paces
        get() = driver.actions.filterIsInstance<SchedulerAction.Pace>().map { it.order }

    private fun step() {
        driver.step()
        orders += driver.starts.onEach(driver::confirmStart)
        driver.polls.forEach(::report)
    }

    private fun report(poll: PollOrder) = driver.report(
        poll,
        orders.map {
            val isServing = it.task.workflow == SERVING
            val tail = tailMillis.takeIf { isServing }
            RunningRow(it.task, it.run, "", if (isServing) FULL_PERCENT else HALTED_PERCENT, tail)
        }
    )

    private fun awaitPace(): List<PaceOrder> {
        repeat(STEPS) {
            step()
            if (paces.isNotEmpty()) return paces
        }
        return emptyList()
    }

    // Guards against a neighbour that works on beside a task over its target (HARM).
    @Test
    fun `a halt that a later order has fenced is ordered again`() {
        val serving = WorkflowStep(
            1,
            Resources(10_000, 1_000),
            isLongRunning = true,
            image = "serving",
            targetTailMillis = 100
        )
        driver.listWorkers("w1")
        driver.submit(driver.workflow(SERVING, serving))
        repeat(STEPS) { step() }
        val batch = driver.taskStep().copy(image = "batch", usesIdleCpu = true)
        driver.submit(driver.workflow("batch", batch))
        repeat(2) { step() }
        expectThat(orders.size).isEqualTo(2)
        tailMillis = 300.0
        val halt = awaitPace().single()
        expectThat(halt.percent).isEqualTo(0)
        val failed = driver.freshPoll("w1")
        driver.answer(failed, WorkerAnswer.Unknown("connection reset"))
        report(driver.freshPoll("w1"))
        val stale = WorkerAnswer.Rejected(RejectReason.STALE_TOKEN)
        scheduler.onPaceAnswer(halt, stale, driver.now)
        expectThat(awaitPace()).isNotEmpty()
    }

    private companion object {
        const val SERVING = "serving"
        const val FULL_PERCENT = 100
        const val HALTED_PERCENT = 60
        const val STEPS = 40
    }
}
