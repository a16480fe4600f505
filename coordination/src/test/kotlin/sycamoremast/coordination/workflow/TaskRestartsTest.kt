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

    /** The percentages that workers show; they show the full pace for runs of other workflows. */
    private val percents = HashMap<String, Int>()

    private fun lasting(milliCpus: Long) =
        WorkflowStep(1, Resources(milliCpus, 1_000), isLongRunning = true)

    private fun short(count: Int, milliCpus: Long, estimateMillis: Long = 1_000) =
        WorkflowStep(count, Resources(milliCpus, 1_000), estimateMillis = estimateMillis)

    private fun submit(id: String, step: WorkflowStep) = driver.submit(driver.workflow(id, step))

    /** Returns a poll of [worker], while the others go on. */
    private fun pollOf(worker: String): PollOrder {
        repeat(SETTLE_STEPS) {
            driver.polls.find { it.worker.id == worker }?.let { return it }
            step()
            driver.polls.filter { it.worker.id != worker }.forEach { report(it) }
        }
        error("no poll of $worker")
    }

    /** Steps for a while; workers carry out starts and report what runs on them. */
    private fun settle() = repeat(SETTLE_STEPS) {
        step()
        driver.polls.forEach { report(it) }
    }

    private fun step() {
        driver.step()
        driver.starts.forEach {
            running += it
            driver.confirmStart(it)
        }
    }

    private fun report(poll: PollOrder, ended: List<EndedRow> = emptyList()) {
        val rows = running.filter { it.worker == poll.worker }
            .map {
                val percent = percents[it.task.workflow] ?: Placement.FULL_PACE
                RunningRow(it.task, it.run, "", percent, null)
            }
        driver.report(poll, rows, ended)
    }

    /** Ends the run of the only running task of [workflow]. */
    private fun end(workflow: String, how: RunEnd = RunEnd.DONE) {
        val order = running.first { it.task.workflow == workflow }
        val poll = pollOf(order.worker.id)
        running -= order
        val number = lastEnds.merge(order.worker.id, 1, Long::plus) ?: 1
        report(poll, listOf(EndedRow(number, order.task, order.run, how, "")))
    }

    /** Lets other processes answer at the addresses of [workers], whose runs have ended. */
    private fun lose(vararg workers: String) {
        running.removeAll { it.worker.id in workers }
        for (worker in workers) {
            driver.answer(pollOf(worker), WorkerAnswer.Rejected(RejectReason.OTHER_INCARNATION))
            scheduler.onWorkerUnlisted(worker)
        }
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

    /**
     * Fills [worker], which was added last, with two short tasks, and loses the worker of the
     * long-running one. That one restarts on [worker] once both have ended, before a new short task.
     */
    private fun expectRestartAfterShortTasks(worker: String, estimateMillis: Long = 1_000) {
        submit("first", short(1, 16_000, estimateMillis))
        submit("second", short(1, 16_000, estimateMillis))
        settle()
        lose("w1")
        submit("third", short(1, 16_000))
        end("first")
        settle()
        expectThat(workerOf("third")).isNull()
        end("second")
        settle()
        expectThat(workerOf("watch")).isEqualTo(worker)
    }

    // Guards against short tasks that take each piece of room before enough is free on any worker.
    @Test
    fun `reserves room for a lost long-running task where short tasks end`() {
        driver.listWorkers("w1")
        submit("watch", lasting(20_000))
        settle()
        addWorker("w2")
        expectRestartAfterShortTasks("w2")
    }

    // Guards against a lost task that waits for a long one where a little less room is missing.
    @Test
    fun `reserves room where short tasks are expected to end first`() {
        percents += mapOf("long" to 0, "first" to 0, "second" to 0)
        driver.listWorkers("w1")
        submit("watch", lasting(20_000))
        settle()
        addWorker("w2")
        submit("long", short(1, 24_000, estimateMillis = 60_000))
        settle()
        addWorker("w3")
        percents["long"] = 5
        expectRestartAfterShortTasks("w3")
    }

    // Guards against the estimate of a whole run for one that a new owner finds nearly done.
    @Test
    fun `expects a task to end as its progress tells`() {
        percents += mapOf("late" to 0, "first" to 99, "second" to 99)
        driver.listWorkers("w1")
        submit("watch", lasting(20_000))
        settle()
        addWorker("w2")
        submit("late", short(1, 24_000, estimateMillis = 8_000))
        settle()
        addWorker("w3")
        percents["late"] = 5
        expectRestartAfterShortTasks("w3", estimateMillis = 60_000)
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
        addWorker("w2")
        submit("other", lasting(20_000))
        settle()
        lose("w1")
        submit("check", short(1, 10_000))
        settle()
        expectThat(workerOf("check")).isEqualTo("w2")
        expectThat(workerOf("watch")).isNull()
    }

    private fun addWorker(id: String) {
        driver.scheduler.onWorkerListed(driver.listing(id), driver.now)
        settle()
    }

    // Guards against a task that waits for room which later reservations on its worker take.
    @Test
    fun `starts the first of two tasks that have room reserved on one worker once it fits`() {
        driver.listWorkers("w1")
        submit("first", lasting(14_000))
        submit("second", lasting(14_000))
        settle()
        addWorker("w2")
        submit("checks", short(2, 16_000))
        settle()
        lose("w1")
        end("checks")
        settle()
        expectThat(running.count { it.task.workflow in setOf("first", "second") }).isEqualTo(1)
        end("checks")
        settle()
        expectThat(workerOf("first")).isEqualTo("w2")
        expectThat(workerOf("second")).isEqualTo("w2")
    }

    // Guards against a task that waits for its reserved room while another worker has some.
    @Test
    fun `starts a task elsewhere while short tasks still take its reserved room`() {
        driver.listWorkers("w1")
        submit("watch", lasting(20_000))
        settle()
        addWorker("w2")
        submit("check", short(1, 30_000))
        settle()
        lose("w1")
        addWorker("w3")
        expectThat(workerOf("watch")).isEqualTo("w3")
    }

    // Guards against tasks that fit nowhere and use up all searches of each round.
    @Test
    fun `reserves room for a task that comes after many which fit nowhere`() {
        driver.listWorkers("w1", "w2", "w3", "w4", "w5", "w6")
        (1..5).forEach { submit("wide$it", lasting(32_000)) }
        submit("narrow", lasting(10_000))
        settle()
        submit("filler", lasting(22_000))
        settle()
        addWorker("w7")
        submit("other", lasting(15_000))
        submit("check", short(1, 16_000))
        settle()
        lose("w1", "w2", "w3", "w4", "w5", "w6")
        expectThat(workerOf("narrow")).isNull()
        submit("late", short(1, 16_000))
        end("check")
        settle()
        expectThat(workerOf("narrow")).isEqualTo("w7")
    }

    private companion object {
        const val SETTLE_STEPS = 16
    }
}
