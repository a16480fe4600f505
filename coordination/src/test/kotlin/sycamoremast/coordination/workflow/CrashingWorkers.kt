/**
 * Workers that crash, are cut off and come back, for tests of what their owner concludes from it.
 *
 * They carry out orders at once. A poll is answered after the time for which it may wait, and fails
 * at once when its worker crashes. While a worker is down, calls to it are not sent. While it is cut
 * off, calls to it get no answer, and it goes on running its tasks until its lease lapses.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.workflow.WorkerAnswer.Rejected
import sycamoremast.coordination.workflow.WorkerAnswer.Unknown

internal class CrashingWorkers(private var driver: SchedulerDriver, count: Int) {
    private class Node(var id: String, val address: String) {
        var startedMillis = 1L
        var isUp = true
        var cutUntilMillis = 0L
        var lastEnd = 0L
        var leaseEndMillis = 0L
        val running = ArrayList<StartOrder>()
        val begunMillis = HashMap<StartOrder, Long>()
        val ended = ArrayList<EndedRow>()
    }

    private class Event(val atMillis: Long, val action: () -> Unit)

    private val nodes = (1..count).map { Node("w$it", "10.0.0.$it:1") }
    private val events = ArrayList<Event>()

    /** The workflows whose tasks crash the worker that starts them. */
    val deadly = HashSet<String>()

    /** Whether a worker answers the start of a deadly task before it crashes. */
    var answersDeadlyStarts = true

    /** Whether a worker that crashed is back under the ID that it had. */
    var keepsIds = false

    /** How long a worker that crashed is down. */
    var downMillis = 3_000L

    /** How long a run takes, unless its task lasts. */
    var workMillis = 400L

    /** All starts that workers have carried out, with their times. */
    val started = ArrayList<Pair<StartOrder, Long>>()

    /** The events that the scheduler has logged, with their times. */
    val log = ArrayList<Pair<SchedulerEvent, Long>>()

    /** The progress that was last recorded, by workflow. */
    val recorded = HashMap<String, WorkflowProgress>()
    private val lasting = HashSet<String>()
    private val workflows = LinkedHashMap<String, Workflow>()

    fun startsOf(workflow: String): List<StartOrder> =
        started.map { it.first }.filter { it.task.workflow == workflow }

    fun logged(name: String): List<SchedulerEvent> = log.map { it.first }.filter { it.name == name }

    fun phaseOf(workflow: String): WorkflowPhase? = driver.scheduler.phaseOrNull(workflow)

    /** Returns the workers on which tasks of [workflow] run, by their numbers. */
    fun nodesOf(workflow: String): List<Int> = nodes.indices.filter { i ->
        nodes[i].running.any { it.task.workflow == workflow }
    }

    fun list() = driver.scheduler.onWorkersListed(
        nodes.filter {
            it.isUp
        }.map(::listing),
        driver.now
    )

    private fun listing(node: Node) = driver.listing(node.id)
        .copy(ref = WorkerRef(node.id, node.address), startedUnixMillis = node.startedMillis)

    fun submit(id: String, vararg steps: WorkflowStep = arrayOf(driver.taskStep())) {
        if (steps.any { it.isLongRunning }) lasting += id
        val workflow = driver.workflow(id, *steps)
        workflows[id] = workflow
        driver.submit(workflow)
    }

    /** Replaces the owner by one with [epoch], which knows only what was recorded. */
    fun takeOver(epoch: Long) {
        val roster = nodes.map { WorkerRef(it.id, it.address) }
        val lapsedBy = SchedulerSettings().lapsedBy(driver.now)
        val now = driver.now
        driver = SchedulerDriver(epoch).apply { this.now = now }
        list()
        roster.forEach { driver.scheduler.addRosteredWorker(it, lapsedBy) }
        for (workflow in workflows.values) {
            driver.scheduler.onWorkflowAccepted(workflow, recorded[workflow.id], true, now, now)
        }
    }

    /** Crashes worker [number], counted from 0, which is back after [downMillis]. */
    fun crash(number: Int) {
        val node = nodes[number]
        if (!node.isUp) return
        node.isUp = false
        node.running.clear()
        node.ended.clear()
        node.lastEnd = 0
        pollsOf(node).forEach { driver.answer(it, Unknown("unexpected end of stream")) }
        at(downMillis) {
            node.isUp = true
            node.startedMillis = driver.now
            if (!keepsIds) {
                node.id += "'"
            }
            driver.scheduler.onWorkerListed(listing(node), driver.now)
        }
    }

    fun cutOff(number: Int, millis: Long) {
        nodes[number].cutUntilMillis = driver.now + millis
    }

    fun isUp(number: Int): Boolean = nodes[number].isUp

    private fun at(delayMillis: Long, action: () -> Unit) {
        events += Event(driver.now + delayMillis, action)
    }

    private fun pollsOf(node: Node) = driver.polls.filter { it.worker.address == node.address }

    private fun nodeOf(worker: WorkerRef) = nodes.first { it.address == worker.address }

    private val Node.isReachable get() = isUp && driver.now >= cutUntilMillis

    /** Steps for [millis], calling [each] after each step. */
    fun run(millis: Long, each: () -> Unit = {}) {
        val until = driver.now + millis
        while (driver.now < until) {
            driver.step(STEP_MILLIS)
            val due = events.filter { it.atMillis <= driver.now }
            events -= due.toSet()
            due.forEach { it.action() }
            nodes.forEach(::advance)
            log += driver.actions.filterIsInstance<SchedulerAction.Log>()
                .map { it.event to driver.now }
            driver.records.forEach { recorded += it.progress }
            driver.actions.toList().forEach(::carryOut)
            driver.polls.forEach(::answer)
            each()
        }
    }

    private fun advance(node: Node) {
        val done = node.running.filter {
            it.task.workflow !in lasting &&
                driver.now >= node.begunMillis.getValue(it) + workMillis
        }
        done.forEach { end(node, it, RunEnd.DONE) }
        if (driver.now > node.leaseEndMillis) {
            node.running.toList().forEach { end(node, it, RunEnd.LAPSED) }
        }
    }

    private fun end(node: Node, order: StartOrder, how: RunEnd) {
        node.running -= order
        node.ended += EndedRow(++node.lastEnd, order.task, order.run, how, "")
    }

    private fun carryOut(action: SchedulerAction) {
        when (action) {
            is SchedulerAction.Start -> start(action.order)
            is SchedulerAction.Stop -> stop(action.order)
            else -> Unit
        }
    }

    private fun start(order: StartOrder) {
        val node = nodeOf(order.worker)
        val answer = when {
            !node.isUp -> Rejected(RejectReason.NOT_SENT)
            node.id != order.worker.id -> Rejected(RejectReason.OTHER_INCARNATION)
            !node.isReachable -> Unknown("timeout")
            else -> null
        }
        if (answer != null) return driver.scheduler.onStartAnswer(order, answer, driver.now)
        node.leaseEndMillis = maxOf(node.leaseEndMillis, order.leaseEndMillis)
        started += order to driver.now
        node.running += order
        node.begunMillis[order] = driver.now
        val isDeadly = order.task.workflow in deadly
        when {
            !isDeadly -> driver.confirmStart(order)

            answersDeadlyStarts -> {
                driver.confirmStart(order)
                at(STEP_MILLIS) { crash(nodes.indexOf(node)) }
            }

            else -> {
                crash(nodes.indexOf(node))
                val answer = Unknown("unexpected end of stream")
                driver.scheduler.onStartAnswer(order, answer, driver.now)
            }
        }
    }

    private fun stop(order: StopOrder) {
        val node = nodeOf(order.worker)
        if (!node.isReachable || node.id != order.worker.id) {
            return driver.scheduler.onStopAnswer(order, Unknown("timeout"), driver.now)
        }
        node.running.find { it.task == order.task && it.run == order.run }
            ?.let { end(node, it, RunEnd.STOPPED) }
        driver.scheduler.onStopAnswer(order, WorkerAnswer.Done(driver.now, driver.now), driver.now)
    }

    private fun answer(poll: PollOrder) {
        val node = nodeOf(poll.worker)
        val waitedMillis = driver.now - poll.sentMillis
        when {
            !node.isUp -> driver.answer(poll, Rejected(RejectReason.NOT_SENT))

            driver.now < node.cutUntilMillis ->
                if (waitedMillis >= poll.waitMillis + TIMEOUT_MILLIS) {
                    driver.answer(poll, Unknown("timeout"))
                }

            node.id != poll.worker.id ->
                driver.answer(poll, Rejected(RejectReason.OTHER_INCARNATION))

            waitedMillis >= poll.waitMillis || node.ended.isNotEmpty() -> {
                node.leaseEndMillis = maxOf(node.leaseEndMillis, poll.leaseEndMillis ?: 0)
                node.ended.removeAll { it.number <= poll.acknowledgedEnd }
                val rows = node.running.map {
                    val ranMillis = driver.now - node.begunMillis.getValue(it)
                    val isLasting = it.task.workflow in lasting
                    val percent = if (isLasting) 100 else (100 * ranMillis / workMillis).toInt()
                    RunningRow(it.task, it.run, "", percent, null)
                }
                driver.report(poll, rows, node.ended.toList(), node.startedMillis)
            }
        }
    }

    private companion object {
        const val STEP_MILLIS = 20L

        /** The time within which a host expects a worker to answer an order. */
        const val TIMEOUT_MILLIS = 600L
    }
}
