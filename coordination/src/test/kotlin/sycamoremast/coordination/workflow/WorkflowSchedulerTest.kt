package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import strikt.assertions.map
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.IndexSet

class WorkflowSchedulerTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    private fun started(vararg steps: WorkflowStep = arrayOf(driver.tasks())): StartOrder {
        driver.workers("w1", "w2")
        driver.submit(driver.workflow(steps = steps))
        driver.step()
        return driver.starts.first().also(driver::done)
    }

    private fun poll(worker: String): PollOrder = driver.freshPoll(worker)

    private fun end(order: StartOrder, how: RunEnd, number: Long = 1) =
        EndedRow(number, order.task, order.run, how, "")

    @Test
    fun `a worker gets no work before the roster that names it is durable`() {
        driver.recordsAtOnce = false
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it) }
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
        scheduler.onBatchDurable()
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).hasSize(1)
    }

    @Test
    fun `a step starts only once all steps that it waits for are done`() {
        val first = started(driver.tasks(), driver.tasks(2, after = listOf(0)))
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
        driver.report(poll(first.worker.id), ended = listOf(end(first, RunEnd.DONE)))
        driver.step()
        expectThat(driver.starts).map { it.task.step }.containsExactly(1, 1)
    }

    @Test
    fun `an end is acknowledged only after its record is durable`() {
        val first = started()
        val poll = poll(first.worker.id)
        driver.recordsAtOnce = false
        driver.report(poll, ended = listOf(end(first, RunEnd.DONE)))
        driver.step()
        val batch = driver.records.single()
        expectThat(batch.progress.getValue("job").phase).isEqualTo(WorkflowPhase.COMPLETED)
        repeat(20) {
            driver.step()
            driver.polls.forEach {
                expectThat(it.acknowledgedEnd).isEqualTo(0)
                driver.report(it, ended = listOf(end(first, RunEnd.DONE)))
            }
        }
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
        scheduler.onBatchDurable()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.COMPLETED)
        // After a silence the worker's life is looked at before anything is acknowledged.
        val look = poll(first.worker.id)
        expectThat(look.acknowledgedEnd).isEqualTo(0)
        driver.report(look, ended = listOf(end(first, RunEnd.DONE)))
        expectThat(poll(first.worker.id).acknowledgedEnd).isEqualTo(1)
    }

    @Test
    fun `a start without an answer is fenced on its worker before the task starts elsewhere`() {
        driver.workers("w1", "w2")
        driver.submit(driver.workflow())
        driver.step()
        val lost = driver.starts.single()
        scheduler.onStartAnswer(lost, WorkerAnswer.Unknown("timeout"), driver.now)
        driver.report(poll(lost.worker.id))
        driver.step()
        expectThat(driver.starts).isEmpty()
        val stop = driver.stops.single()
        expectThat(stop.run).isEqualTo(lost.run)
        driver.report(poll(lost.worker.id))
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
        scheduler.onStopAnswer(stop, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        driver.report(poll(lost.worker.id))
        driver.step()
        expectThat(driver.starts.single().run).isGreaterThan(lost.run)
    }

    @Test
    fun `a start without an answer that is seen running is kept`() {
        driver.workers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val lost = driver.starts.single()
        scheduler.onStartAnswer(lost, WorkerAnswer.Unknown("timeout"), driver.now)
        val row = RunningRow(lost.task, lost.run, "", 10, null)
        repeat(5) { driver.report(poll("w1"), running = listOf(row)) }
        driver.step()
        expectThat(driver.stops).isEmpty()
        expectThat(driver.starts).isEmpty()
    }

    @Test
    fun `a report polled before the start was answered doesn't end the run`() {
        driver.workers("w1")
        driver.submit(driver.workflow("other"))
        driver.step()
        driver.done(driver.starts.single())
        val early = poll("w1")
        driver.submit(driver.workflow("job"))
        driver.step()
        val order = driver.starts.single()
        driver.done(order)
        driver.report(
            early,
            running = listOf(RunningRow(TaskName("other", 0, 0, 0), 1, "", 1, null))
        )
        driver.step()
        expectThat(driver.starts).isEmpty()
    }

    @Test
    fun `an unreachable worker keeps its task until its lease has surely lapsed`() {
        val first = started()
        var last = driver.now
        var restarted = emptyList<StartOrder>()
        while (restarted.isEmpty() && driver.now < 20_000) {
            driver.step()
            val (lost, reached) = driver.polls.partition { it.worker == first.worker }
            last = lost.lastOrNull { it.leaseEndMillis != null }?.sentMillis ?: last
            lost.forEach { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
            reached.forEach { driver.report(it) }
            restarted = driver.starts
        }
        expectThat(restarted.single().worker.id).isEqualTo("w2")
        expectThat(driver.now).isGreaterThan(last + 6_120)
    }

    @Test
    fun `an owner that may have been replaced takes no unreachable worker's lease for lapsed`() {
        val first = started()
        driver.isSoleOwner = false
        while (driver.now < 30_000) {
            driver.step()
            val (lost, reached) = driver.polls.partition { it.worker == first.worker }
            lost.forEach { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
            reached.forEach { driver.report(it) }
            expectThat(driver.starts).isEmpty()
        }
    }

    @Test
    fun `tasks of a worker that started anew restart at once`() {
        val first = started()
        driver.report(poll(first.worker.id), born = 2)
        driver.step()
        expectThat(driver.starts.single().run).isGreaterThan(first.run)
    }

    @Test
    fun `another incarnation at the address ends what ran on the earlier one`() {
        val first = started()
        val other = WorkerAnswer.Rejected(RejectReason.OTHER_INCARNATION)
        driver.answer(poll(first.worker.id), other)
        driver.step()
        expectThat(driver.starts.single().worker.id).isEqualTo(
            listOf("w1", "w2").single { it != first.worker.id }
        )
    }

    @Test
    fun `a workflow fails once a task has used up its attempts, and not before`() {
        var order = started()
        driver.report(poll(order.worker.id), ended = listOf(end(order, RunEnd.FAILED)))
        driver.step()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
        order = driver.starts.single().also(driver::done)
        val number = 2L
        driver.report(poll(order.worker.id), ended = listOf(end(order, RunEnd.FAILED, number)))
        driver.step()
        driver.step()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.FAILED)
        expectThat(driver.starts).isEmpty()
    }

    @Test
    fun `a cancelled workflow stops what runs and starts nothing more`() {
        val first = started(driver.tasks(), driver.tasks(after = listOf(0)))
        scheduler.onWorkflowCancelled("job", driver.now, driver.now)
        driver.step()
        expectThat(driver.stops.single().task).isEqualTo(first.task)
        driver.report(poll(first.worker.id), ended = listOf(end(first, RunEnd.DONE)))
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
    }

    @Test
    fun `a cancellation that is seen before its workflow still holds`() {
        driver.workers("w1")
        scheduler.onWorkflowCancelled("job", driver.now, driver.now)
        driver.submit(driver.workflow())
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
    }

    @Test
    fun `a draining worker gets no new task`() {
        driver.workers("w1")
        scheduler.onWorkerListed(driver.listing("w1", isDraining = true), driver.now)
        driver.submit(driver.workflow())
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
    }

    @Test
    fun `a worker with a higher epoch deposes the owner`() {
        val first = started()
        val stale = WorkerAnswer.Rejected(RejectReason.STALE_EPOCH)
        driver.answer(poll(first.worker.id), stale)
        expectThat(driver.step()).contains(SchedulerAction.Depose(first.worker))
    }

    @Test
    fun `a new owner adopts what runs and waits for every worker of the roster`() {
        val next = SchedulerDriver(epoch = 2)
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.scheduler.addRosteredWorker(next.ref("w1"), next.now + 6_420)
        next.scheduler.addRosteredWorker(next.ref("gone"), next.now + 6_420)
        next.submit(next.workflow(steps = arrayOf(next.tasks(2))), isRecovered = true)
        val running = RunningRow(TaskName("job", 0, 0, 0), 3, "", 50, null)
        val began = next.now
        var starts = emptyList<StartOrder>()
        while (starts.isEmpty() && next.now < 20_000) {
            next.step()
            for (poll in next.polls) {
                if (poll.worker.id == "w1") {
                    next.report(poll, running = listOf(running))
                } else {
                    next.answer(poll, WorkerAnswer.Unknown("timeout"))
                }
            }
            starts = next.starts
        }
        expectThat(starts).map { it.task.index }.containsExactly(1)
        expectThat(next.now - began).isGreaterThan(6_420)
        expectThat(starts.single().run).isGreaterThan(1_000)
    }

    @Test
    fun `what an earlier owner recorded as done does not start again`() {
        driver.workers("w1")
        val workflow = driver.workflow(steps = arrayOf(driver.tasks(3)))
        val done = IndexSet.of(0, 2)
        val progress =
            WorkflowProgress(WorkflowPhase.RUNNING, mapOf("0.0" to done), hasBegun = true)
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered = true, driver.now, driver.now)
        driver.step()
        expectThat(driver.starts).map { it.task.index }.containsExactly(1)
    }

    @Test
    fun `a failure that an earlier owner recorded is not counted again from its unread end`() {
        val failures = mapOf("0.0.0" to setOf(3))
        val progress = WorkflowProgress(WorkflowPhase.RUNNING, failures = failures, hasBegun = true)
        val workflow = driver.workflow()
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered = true, driver.now, driver.now)
        driver.step()
        val task = TaskName("job", 0, 0, 0)
        driver.report(
            driver.polls.single(),
            ended = listOf(EndedRow(1, task, 3, RunEnd.FAILED, ""))
        )
        driver.settle()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
    }

    @Test
    fun `failures that a new owner reads from several workers count in any order`() {
        val failures = mapOf("0.0.0" to setOf(1))
        val progress = WorkflowProgress(WorkflowPhase.RUNNING, failures = failures, hasBegun = true)
        val workflow = driver.workflow(maxAttempts = 3)
        scheduler.onWorkersListed(listOf("w1", "w2").map { driver.listing(it) }, driver.now)
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered = true, driver.now, driver.now)
        driver.step()
        val task = TaskName("job", 0, 0, 0)
        val runs = mapOf("w1" to 3, "w2" to 2)
        for (poll in driver.polls.sortedBy { it.worker.id }) {
            val run = runs.getValue(poll.worker.id)
            driver.report(poll, ended = listOf(EndedRow(1, task, run, RunEnd.FAILED, "")))
        }
        driver.settle()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.FAILED)
    }

    @Test
    fun `a long-running task takes the only room there is instead of waiting`() {
        driver.workers("w1")
        val whole = driver.tasks().copy(isLongRunning = true, demand = Resources(32_000, 1_000))
        driver.submit(driver.workflow(steps = arrayOf(whole)))
        driver.step(SETTLE_MILLIS)
        expectThat(driver.starts).hasSize(1)
    }

    private fun serving(image: String, milliCpus: Long) = driver.tasks().copy(
        isLongRunning = true,
        image = image,
        targetTailMillis = 50,
        demand = Resources(milliCpus, 1_000)
    )

    private fun servingStarts(vararg steps: WorkflowStep): Map<String, List<String>> {
        driver.workers("w1", "w2", "w3", "w4")
        steps.forEachIndexed { i, step ->
            driver.submit(driver.workflow("job$i", steps = arrayOf(step)))
        }
        driver.step(SETTLE_MILLIS)
        return driver.starts.groupBy({ it.worker.id }, { it.task.workflow })
    }

    @Test
    fun `serving tasks of one image share workers and leave other workers free`() {
        val placed = servingStarts(
            serving("a", 8_000),
            serving("b", 8_000),
            serving("a", 8_000),
            serving("b", 8_000),
            serving("a", 16_000)
        )
        expectThat(placed.values.map { it.toSet() })
            .containsExactlyInAnyOrder(setOf("job0", "job2", "job4"), setOf("job1", "job3"))
    }

    @Test
    fun `on a crowded fleet long-running tasks leave room for short ones`() {
        val tasks = (1..9).map { serving("a", 12_500) }
        val placed = servingStarts(*tasks.toTypedArray())
        expectThat(placed.values.map { it.size }).containsExactly(2, 2, 2, 2)
    }

    @Test
    fun `a worker whose serving task stays over its target gets no neighbour, harmless or not`() {
        driver.workers("w1")
        driver.submit(driver.workflow("serving", serving("a", 8_000)))
        driver.step(SETTLE_MILLIS)
        val runs = driver.starts.onEach(driver::done).toMutableList()
        val tiny = driver.tasks()
            .copy(usesIdleCpu = true, savesProgress = true, demand = Resources(100, 100))
        driver.submit(driver.workflow("tiny", tiny))
        val ended = ArrayList<EndedRow>()
        val startsAfterStop = ArrayList<StartOrder>()
        repeat(120) {
            driver.step()
            if (ended.isNotEmpty()) startsAfterStop += driver.starts
            runs += driver.starts.onEach(driver::done)
            for (stop in driver.stops) {
                runs.removeAll { it.task == stop.task }
                val number = ended.size + 1L
                ended += EndedRow(number, stop.task, stop.run, RunEnd.STOPPED, "saved")
            }
            val rows = runs.map { RunningRow(it.task, it.run, "", 100, OVER_TARGET_MILLIS) }
            driver.polls.forEach { driver.report(it, rows, ended) }
        }
        expectThat(ended).hasSize(1)
        expectThat(startsAfterStop).isEmpty()
    }

    private fun gang(count: Int) = driver.tasks(count)
        .copy(isGang = true, demand = Resources(20_000, 1_000))

    @Test
    fun `a gang starts only when all of it has room, with one run number`() {
        driver.workers("w1")
        driver.submit(driver.workflow(steps = arrayOf(gang(2))))
        driver.step()
        expectThat(driver.starts).isEmpty()
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        driver.settleStarts()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
    }

    @Test
    fun `one end of a gang stands for all, and one failed run counts once`() {
        driver.workers("w1", "w2")
        driver.submit(driver.workflow(steps = arrayOf(gang(2))))
        driver.step()
        val starts = driver.starts
        expectThat(starts).map { it.run }.containsExactly(1, 1)
        starts.forEach(driver::done)
        for (start in starts) {
            val poll = driver.polls.single { it.worker == start.worker }
            driver.report(poll, ended = listOf(end(start, RunEnd.FAILED)))
        }
        driver.step()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
        val again = driver.starts
        expectThat(again).map { it.run }.containsExactly(2, 2)
        again.forEach(driver::done)
        val done = EndedRow(2, again[0].task, 2, RunEnd.DONE, "")
        driver.report(poll(again[0].worker.id), ended = listOf(done))
        driver.settle()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.COMPLETED)
    }

    @Test
    fun `a workflow without a started task is counted as waiting`() {
        driver.submit(driver.workflow())
        expectThat(scheduler.waitingByQueue()).isEqualTo(mapOf("queue" to 1))
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.settleStarts()
        expectThat(scheduler.waitingByQueue().isEmpty()).isTrue()
    }

    // Guards against a count of 0 while starts are ordered and none is carried out.
    @Test
    fun `a workflow waits until one of its starts is known to have been carried out`() {
        driver.workers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val order = driver.starts.single()
        expectThat(scheduler.waitingByQueue()).isEqualTo(mapOf("queue" to 1))
        scheduler.onStartAnswer(order, WorkerAnswer.Unknown("timeout"), driver.now)
        expectThat(scheduler.waitingByQueue()).isEqualTo(mapOf("queue" to 1))
        val row = RunningRow(order.task, order.run, "", 10, null)
        driver.report(poll("w1"), running = listOf(row))
        expectThat(scheduler.waitingByQueue().isEmpty()).isTrue()
    }

    @Test
    fun `a run that stands still is stopped so that another worker can try`() {
        val first = started()
        val row = RunningRow(first.task, first.run, "", 30, null)
        var stops = emptyList<StopOrder>()
        while (stops.isEmpty() && driver.now < 20_000) {
            driver.step()
            driver.polls.forEach {
                driver.report(it, if (it.worker == first.worker) listOf(row) else emptyList())
            }
            stops = driver.stops
        }
        expectThat(stops.single().task).isEqualTo(first.task)
    }

    private companion object {
        /** A little longer than long-running tasks wait for others that come with them. */
        const val SETTLE_MILLIS = 300L

        /** A tail of twice the target. */
        const val OVER_TARGET_MILLIS = 100.0
    }

    @Test
    fun `an end is acknowledged while ever more other workflows change`() {
        driver.workers("w1", "w2")
        val small = WorkflowStep(1, Resources(10, 10))
        driver.submit(driver.workflow("first", small))
        driver.step()
        val first = driver.starts.single().also(driver::done)
        val poll = poll(first.worker.id)
        driver.report(poll, ended = listOf(end(first, RunEnd.DONE)))
        var acknowledged = 0L
        repeat(6) { round ->
            repeat(40) { driver.submit(driver.workflow("other$round-$it", small)) }
            driver.step()
            driver.polls.forEach {
                if (it.worker == first.worker) acknowledged = it.acknowledgedEnd
                driver.report(it)
            }
        }
        expectThat(acknowledged).isEqualTo(1)
    }

    @Test
    fun `an owner that gives up as planned tells how long its workers' leases may last`() {
        val first = started()
        val left = scheduler.handoverBatch(driver.now).leasesLeft.orEmpty()
        expectThat(left.getValue(first.worker.id)).isGreaterThan(6_000)
        expectThat(left.filterKeys { it != first.worker.id }.values.toList()).containsExactly(0)
    }

    @Test
    fun `a recovered task doesn't wait for a worker that is gone after a planned change`() {
        scheduler.addRosteredWorker(driver.ref("gone"), driver.now)
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.submit(driver.workflow(), isRecovered = true)
        val began = driver.now
        while (driver.starts.isEmpty() && driver.now < began + 10_000) {
            driver.step()
            val (lost, reached) = driver.polls.partition { it.worker.id == "gone" }
            lost.forEach { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
            reached.forEach { driver.report(it) }
        }
        expectThat(driver.now - began).isLessThan(1_000)
    }

    @Test
    fun `a task whose order was never sent starts again without a poll or a stop`() {
        driver.workers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val order = driver.starts.single()
        val congested = WorkerAnswer.Rejected(RejectReason.CONGESTED)
        scheduler.onStartAnswer(order, congested, driver.now)
        repeat(6) { if (driver.starts.none { it.run > order.run }) driver.step() }
        expectThat(driver.starts.single().task).isEqualTo(order.task)
        expectThat(driver.stops).isEmpty()
    }
}
