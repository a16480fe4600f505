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

    private fun startFirst(vararg steps: WorkflowStep = arrayOf(driver.taskStep())): StartOrder {
        driver.listWorkers("w1", "w2")
        driver.submit(driver.workflow(steps = steps))
        driver.step()
        return driver.starts.first().also(driver::confirmStart)
    }

    private fun poll(worker: String): PollOrder = driver.freshPoll(worker)

    private fun end(order: StartOrder, how: RunEnd, number: Long = 1) =
        EndedRow(number, order.task, order.run, how, "")

    @Test
    fun `starts no task on a worker before the roster that names it is durable`() {
        driver.areRecordsDurableAtOnce = false
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it) }
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
        scheduler.onBatchDurable()
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).hasSize(1)
    }

    @Test
    fun `starts a step only once all steps in its after list are done`() {
        val first = startFirst(driver.taskStep(), driver.taskStep(2, after = listOf(0)))
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
        driver.report(poll(first.worker.id), ended = listOf(end(first, RunEnd.DONE)))
        driver.step()
        expectThat(driver.starts).map { it.task.step }.containsExactly(1, 1)
    }

    @Test
    fun `acknowledges an end only after its record is durable`() {
        val first = startFirst()
        val poll = poll(first.worker.id)
        driver.areRecordsDurableAtOnce = false
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
        // After a pause, a report must prove the incarnation before an end is acknowledged.
        val firstPoll = poll(first.worker.id)
        expectThat(firstPoll.acknowledgedEnd).isEqualTo(0)
        driver.report(firstPoll, ended = listOf(end(first, RunEnd.DONE)))
        expectThat(poll(first.worker.id).acknowledgedEnd).isEqualTo(1)
    }

    @Test
    fun `fences an unanswered start on its worker before starting the task again`() {
        driver.listWorkers("w1", "w2")
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
    fun `keeps an unanswered start that is reported as running`() {
        driver.listWorkers("w1")
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
    fun `keeps a run that is absent from a report polled before its start was answered`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("other"))
        driver.step()
        driver.confirmStart(driver.starts.single())
        val early = poll("w1")
        driver.submit(driver.workflow("job"))
        driver.step()
        val order = driver.starts.single()
        driver.confirmStart(order)
        driver.report(
            early,
            running = listOf(RunningRow(TaskName("other", 0, 0, 0), 1, "", 1, null))
        )
        driver.step()
        expectThat(driver.starts).isEmpty()
    }

    @Test
    fun `restarts an unreachable worker's task only after its lease has certainly lapsed`() {
        val first = startFirst()
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
    fun `considers no lease as lapsed when the owner may have been replaced`() {
        val first = startFirst()
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
    fun `restarts the tasks of a restarted worker at once`() {
        val first = startFirst()
        driver.report(poll(first.worker.id), started = 2)
        driver.step()
        expectThat(driver.starts.single().run).isGreaterThan(first.run)
    }

    @Test
    fun `restarts tasks when another incarnation answers at the address`() {
        val first = startFirst()
        val other = WorkerAnswer.Rejected(RejectReason.OTHER_INCARNATION)
        driver.answer(poll(first.worker.id), other)
        driver.step()
        expectThat(driver.starts.single().worker.id).isEqualTo(
            listOf("w1", "w2").single { it != first.worker.id }
        )
    }

    @Test
    fun `fails a workflow only once a task has used up its attempts`() {
        var order = startFirst()
        driver.report(poll(order.worker.id), ended = listOf(end(order, RunEnd.FAILED)))
        driver.step()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
        order = driver.starts.single().also(driver::confirmStart)
        val number = 2L
        driver.report(poll(order.worker.id), ended = listOf(end(order, RunEnd.FAILED, number)))
        driver.step()
        driver.step()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.FAILED)
        expectThat(driver.starts).isEmpty()
    }

    @Test
    fun `stops the runs of a cancelled workflow and starts no more`() {
        val first = startFirst(driver.taskStep(), driver.taskStep(after = listOf(0)))
        scheduler.onWorkflowCancelled("job", driver.now, driver.now)
        driver.step()
        expectThat(driver.stops.single().task).isEqualTo(first.task)
        driver.report(poll(first.worker.id), ended = listOf(end(first, RunEnd.DONE)))
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
    }

    @Test
    fun `applies a cancellation that arrives before its workflow`() {
        driver.listWorkers("w1")
        scheduler.onWorkflowCancelled("job", driver.now, driver.now)
        driver.submit(driver.workflow())
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
    }

    @Test
    fun `starts no task on a draining worker`() {
        driver.listWorkers("w1")
        scheduler.onWorkerListed(driver.listing("w1", isDraining = true), driver.now)
        driver.submit(driver.workflow())
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
    }

    @Test
    fun `returns Depose when a worker has seen a higher epoch`() {
        val first = startFirst()
        val stale = WorkerAnswer.Rejected(RejectReason.STALE_TOKEN)
        driver.answer(poll(first.worker.id), stale)
        expectThat(driver.step()).contains(SchedulerAction.Depose(first.worker))
    }

    @Test
    fun `a new owner adopts runs and waits for every worker of the roster`() {
        val next = SchedulerDriver(epoch = 2)
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.scheduler.addRosteredWorker(next.ref("w1"), next.now + 6_420)
        next.scheduler.addRosteredWorker(next.ref("gone"), next.now + 6_420)
        next.submit(next.workflow(steps = arrayOf(next.taskStep(2))), isRecovered = true)
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
    fun `starts no task that an earlier owner recorded as done`() {
        driver.listWorkers("w1")
        val workflow = driver.workflow(steps = arrayOf(driver.taskStep(3)))
        val done = IndexSet.of(0, 2)
        val progress =
            WorkflowProgress(WorkflowPhase.RUNNING, mapOf("0.0" to done), hasBegun = true)
        scheduler.onWorkflowAccepted(workflow, progress, isRecovered = true, driver.now, driver.now)
        driver.step()
        expectThat(driver.starts).map { it.task.index }.containsExactly(1)
    }

    @Test
    fun `counts a failure once when its end is read after an earlier owner recorded it`() {
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
    fun `counts failures from several workers in any order`() {
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
    fun `places a long-running task on the only worker with capacity instead of waiting`() {
        driver.listWorkers("w1")
        val whole = driver.taskStep().copy(isLongRunning = true, demand = Resources(32_000, 1_000))
        driver.submit(driver.workflow(steps = arrayOf(whole)))
        driver.step(SETTLE_MILLIS)
        expectThat(driver.starts).hasSize(1)
    }

    private fun serving(image: String, milliCpus: Long) = driver.taskStep().copy(
        isLongRunning = true,
        image = image,
        targetTailMillis = 50,
        demand = Resources(milliCpus, 1_000)
    )

    private fun placeServing(vararg steps: WorkflowStep): Map<String, List<String>> {
        driver.listWorkers("w1", "w2", "w3", "w4")
        steps.forEachIndexed { i, step ->
            driver.submit(driver.workflow("job$i", steps = arrayOf(step)))
        }
        driver.step(SETTLE_MILLIS)
        return driver.starts.groupBy({ it.worker.id }, { it.task.workflow })
    }

    @Test
    fun `packs serving tasks of one image together and leaves other workers free`() {
        val placed = placeServing(
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
    fun `leaves a reserve for short tasks on a crowded fleet`() {
        val tasks = (1..9).map { serving("a", 12_500) }
        val placed = placeServing(*tasks.toTypedArray())
        expectThat(placed.values.map { it.size }).containsExactly(2, 2, 2, 2)
    }

    @Test
    fun `places no neighbour on a worker whose serving task stays over its target`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("serving", serving("a", 8_000)))
        driver.step(SETTLE_MILLIS)
        val runs = driver.starts.onEach(driver::confirmStart).toMutableList()
        val tiny = driver.taskStep()
            .copy(usesIdleCpu = true, savesProgress = true, demand = Resources(100, 100))
        driver.submit(driver.workflow("tiny", tiny))
        val ended = ArrayList<EndedRow>()
        val startsAfterStop = ArrayList<StartOrder>()
        repeat(120) {
            driver.step()
            if (ended.isNotEmpty()) startsAfterStop += driver.starts
            runs += driver.starts.onEach(driver::confirmStart)
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

    private fun gang(count: Int) = driver.taskStep(count)
        .copy(isGang = true, demand = Resources(20_000, 1_000))

    @Test
    fun `starts a gang only when all of it fits`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow(steps = arrayOf(gang(2))))
        driver.step()
        expectThat(driver.starts).isEmpty()
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        driver.settleWithStarts()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
    }

    @Test
    fun `completes a gang on one done member and counts a failed run of it once`() {
        driver.listWorkers("w1", "w2")
        driver.submit(driver.workflow(steps = arrayOf(gang(2))))
        driver.step()
        val starts = driver.starts
        expectThat(starts).map { it.run }.containsExactly(1, 1)
        starts.forEach(driver::confirmStart)
        for (start in starts) {
            val poll = driver.polls.single { it.worker == start.worker }
            driver.report(poll, ended = listOf(end(start, RunEnd.FAILED)))
        }
        driver.step()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.RUNNING)
        val again = driver.starts
        expectThat(again).map { it.run }.containsExactly(2, 2)
        again.forEach(driver::confirmStart)
        val done = EndedRow(2, again[0].task, 2, RunEnd.DONE, "")
        driver.report(poll(again[0].worker.id), ended = listOf(done))
        driver.settle()
        expectThat(scheduler.phaseOrNull("job")).isEqualTo(WorkflowPhase.COMPLETED)
    }

    @Test
    fun `counts a workflow without a started task as waiting`() {
        driver.submit(driver.workflow())
        expectThat(scheduler.waitingByQueue()).isEqualTo(mapOf("queue" to 1))
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.settleWithStarts()
        expectThat(scheduler.waitingByQueue().isEmpty()).isTrue()
    }

    // Guards against a count of 0 while starts are ordered but none has been carried out.
    @Test
    fun `counts a workflow as waiting until one of its starts is confirmed`() {
        driver.listWorkers("w1")
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
    fun `stops a run without progress so that another worker can run its task`() {
        val first = startFirst()
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
        /** A little longer than long-running tasks wait to be packed with others. */
        const val SETTLE_MILLIS = 300L

        /** A tail latency of twice the target. */
        const val OVER_TARGET_MILLIS = 100.0
    }

    @Test
    fun `acknowledges an end while many other workflows change`() {
        driver.listWorkers("w1", "w2")
        val small = WorkflowStep(1, Resources(10, 10))
        driver.submit(driver.workflow("first", small))
        driver.step()
        val first = driver.starts.single().also(driver::confirmStart)
        val poll = poll(first.worker.id)
        driver.report(poll, ended = listOf(end(first, RunEnd.DONE)))
        val acknowledged = ArrayList<Long>()
        repeat(6) { round ->
            repeat(40) { driver.submit(driver.workflow("other$round-$it", small)) }
            driver.step()
            driver.polls.forEach {
                if (it.worker == first.worker) acknowledged += it.acknowledgedEnd
                driver.report(it)
            }
        }
        expectThat(acknowledged.filter { it > 0 }).containsExactly(1)
    }

    @Test
    fun `returns the remaining leases in a planned handover`() {
        val first = startFirst()
        val left = scheduler.handoverBatch(driver.now, driver.now).leasesLeft.fixed
        expectThat(left.getValue(first.worker.id)).isGreaterThan(6_000)
        expectThat(left.filterKeys { it != first.worker.id }.values.toList()).containsExactly(0)
    }

    @Test
    fun `starts a recovered task without waiting for a worker that lapsed before a handover`() {
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
    fun `restarts a task whose order was not sent without a poll or a stop`() {
        driver.listWorkers("w1")
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
