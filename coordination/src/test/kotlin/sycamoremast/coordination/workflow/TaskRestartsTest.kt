package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.map
import sycamoremast.coordination.Resources

/** Tests of long-running tasks that have lost their run while other work takes all room. */
class TaskRestartsTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val running = ArrayList<StartOrder>()
    private val lastEnds = HashMap<String, Long>()

    private fun lasting(milliCpus: Long) =
        WorkflowStep(1, Resources(milliCpus, 1_000), isLongRunning = true)

    private fun short(count: Int, milliCpus: Long) =
        WorkflowStep(count, Resources(milliCpus, 1_000), estimateMillis = 1_000)

    private fun submit(id: String, step: WorkflowStep) = driver.submit(driver.workflow(id, step))

    /** Steps for a while; workers carry out starts and report what runs on them. */
    private fun settle() = repeat(SETTLE_STEPS) {
        driver.step()
        driver.starts.forEach {
            running += it
            driver.confirmStart(it)
        }
        driver.polls.forEach { report(it) }
    }

    private fun report(poll: PollOrder, ended: List<EndedRow> = emptyList()) {
        val rows = running.filter { it.worker == poll.worker }
            .map { RunningRow(it.task, it.run, "", Placement.FULL_PACE, null) }
        driver.report(poll, rows, ended)
    }

    /** Ends the run of the only running task of [workflow]. */
    private fun end(workflow: String, how: RunEnd = RunEnd.DONE) {
        val order = running.first { it.task.workflow == workflow }
        val poll = driver.polls.firstOrNull { it.worker == order.worker }
            ?: driver.freshPoll(order.worker.id)
        running -= order
        val number = lastEnds.merge(order.worker.id, 1, Long::plus) ?: 1
        report(poll, listOf(EndedRow(number, order.task, order.run, how, "")))
    }

    /** Lets another process answer at the address of [worker], whose runs have ended. */
    private fun lose(worker: String) {
        running.removeAll { it.worker.id == worker }
        val poll = driver.freshPoll(worker)
        driver.answer(poll, WorkerAnswer.Rejected(RejectReason.OTHER_INCARNATION))
        scheduler.onWorkerUnlisted(worker)
        settle()
    }

    private fun workerOf(workflow: String): String? =
        running.singleOrNull { it.task.workflow == workflow }?.worker?.id

    // Guards against a lost long-running task that waits until a backlog of short tasks is gone.
    @Test
    fun `restarts a lost long-running task before short tasks that wait already`() {
        driver.listWorkers("w1")
        submit("watch", lasting(30_000))
        settle()
        submit("checks", short(8, 30_000))
        settle()
        end("watch", RunEnd.FAILED)
        settle()
        expectThat(running).map { it.task.workflow }.containsExactly("watch")
    }

    // Guards against short tasks that take each piece of room before enough is free on any worker.
    @Test
    fun `reserves room for a lost long-running task where short tasks end`() {
        driver.listWorkers("w1")
        submit("watch", lasting(20_000))
        settle()
        driver.scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        settle()
        submit("first", short(1, 16_000))
        submit("second", short(1, 16_000))
        settle()
        lose("w1")
        submit("third", short(1, 16_000))
        end("first")
        settle()
        expectThat(workerOf("third")).isNull()
        end("second")
        settle()
        expectThat(workerOf("watch")).isEqualTo("w2")
    }

    @Test
    fun `reserves no room for a long-running task that has never run`() {
        driver.listWorkers("w1")
        submit("first", short(1, 16_000))
        submit("second", short(1, 16_000))
        settle()
        submit("watch", lasting(20_000))
        settle()
        submit("third", short(1, 16_000))
        end("first")
        settle()
        expectThat(workerOf("third")).isEqualTo("w1")
        expectThat(workerOf("watch")).isNull()
    }

    @Test
    fun `reserves no room where other long-running tasks leave too little`() {
        driver.listWorkers("w1")
        submit("watch", lasting(30_000))
        settle()
        driver.scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        settle()
        submit("other", lasting(20_000))
        settle()
        lose("w1")
        submit("check", short(1, 10_000))
        settle()
        expectThat(workerOf("check")).isEqualTo("w2")
        expectThat(workerOf("watch")).isNull()
    }

    private companion object {
        const val SETTLE_STEPS = 16
    }
}
