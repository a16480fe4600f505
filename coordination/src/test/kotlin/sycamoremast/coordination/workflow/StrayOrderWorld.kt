/**
 * A world of hosts and workers in virtual time in which workers end silently and are soon back under
 * their IDs and addresses.
 *
 * A worker that is down resets nothing: polls that wait there time out, and new connections hang
 * until it is back or the caller gives up. Its next incarnation has another clock and has seen no
 * fencing token. A call without an answer may be carried out seconds later by whichever incarnation
 * is up then.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

/** What becomes of a call to a worker. */
internal sealed interface CallFate {
    data object Prompt : CallFate

    data object Lost : CallFate

    /** The call is carried out [millis] after it was sent, and its answer is lost. */
    data class Late(val millis: Long) : CallFate
}

internal abstract class StrayOrderWorld(final override val settings: SchedulerSettings) :
    HostWorld {
    private class Call(
        val host: String,
        val order: WorkerOrder,
        val deadlineMillis: Long,
        val answer: (WorkerAnswer) -> Unit
    ) {
        private var isAnswered = false

        fun end(result: WorkerAnswer) {
            if (!isAnswered) answer(result)
            isAnswered = true
        }
    }

    final override val time = VirtualTime()
    protected val now: Long get() = time.now
    final override val store = ModelStore(time, pausesLeases = false)
    protected val workers = LinkedHashMap<String, ModelWorker>()
    private val entries = LinkedHashMap<String, WorkerListing>()
    final override val listings: Map<String, WorkerListing> get() = entries
    protected val monitor = RunMonitor { workers.values }
    protected abstract val hosts: List<ModelHost>

    /** Until when a host is cut off, by the names of the host and of the other side. */
    private val cutUntil = HashMap<Pair<String, String>, Long>()

    /** Calls to workers that are down, by worker. */
    private val hanging = HashMap<String, ArrayList<Call>>()

    /** How many calls were carried out by a later incarnation than that at which they were sent. */
    var strayOrders = 0
        private set
    val violations: List<Violation> get() = monitor.violations
    val log = ArrayList<String>()
    final override val isStoreLossy: Boolean get() = false
    final override val acknowledgesWithStore: Boolean get() = false

    protected abstract fun fateOf(host: String, order: WorkerOrder): CallFate

    protected fun begin(lasting: Workflow) {
        hosts.forEach { store.register(HostProcess.of(it.name, "1")) }
        store.onOwnerChanged = { hosts.forEach { it.onOwnerKey() } }
        store.accept(lasting)
    }

    protected fun addWorker(worker: ModelWorker) {
        worker.restart(now)
        workers[worker.ref.id] = worker
        list(worker.ref, now)
    }

    private fun list(ref: WorkerRef, startedMillis: Long) {
        val room = Resources(CAPACITY_MILLI_CPUS, CAPACITY_MEGABYTES)
        val labels = emptyList<String>()
        entries[ref.id] = WorkerListing(ref, SERVICE, "zone", room, labels, false, startedMillis)
    }

    /** Ends [worker] silently; it is back after [downMillis] and listed as such [listMillis] later. */
    protected fun restart(worker: ModelWorker, downMillis: Long, listMillis: Long) {
        log("${worker.ref.id} ends silently")
        worker.crash()
        time.at(now + downMillis) {
            log("${worker.ref.id} is back")
            worker.restart(now)
            val startedMillis = now
            time.at(now + listMillis) { list(worker.ref, startedMillis) }
            hanging.remove(worker.ref.id).orEmpty().forEach { call ->
                time.at(now + delayMillis()) { if (now < call.deadlineMillis) arrive(call) }
            }
        }
    }

    protected fun cut(host: String, target: String, millis: Long) {
        val until = now + millis
        log("$host is cut off from $target until $until")
        cutUntil.merge(host to target, until, ::maxOf)
    }

    final override fun reaches(host: String, target: String): Boolean =
        now >= (cutUntil[host to target] ?: 0)

    final override fun lateMillisOrNull(): Long? = null

    final override fun registryLagMillis(): Long = 0

    final override fun log(text: String) {
        log += "$now $text"
    }

    final override fun tell(from: String, to: String, receive: (ModelHost) -> Unit) {
        if (!reaches(from, to) || !reaches(to, from)) return
        time.at(now + delayMillis()) { hosts.find { it.name == to }?.let(receive) }
    }

    final override fun send(host: String, order: WorkerOrder, answer: (WorkerAnswer) -> Unit) {
        val deadlineMillis = now + TIMEOUT_MILLIS + order.longestWaitMillis
        val call = Call(host, order, deadlineMillis, answer)
        time.at(deadlineMillis) { call.end(WorkerAnswer.Unknown("timeout")) }
        val sentTo = worker(order).incarnation
        when (val fate = fateOf(host, order)) {
            CallFate.Prompt -> time.at(now + delayMillis()) { arrive(call) }

            CallFate.Lost -> log("  lost: $order")

            is CallFate.Late -> time.at(now + fate.millis) {
                if (!worker(order).isUp || !reaches(host, order.worker.id)) return@at
                log("  late by $host, sent to incarnation $sentTo: $order")
                carryOut(call, sentTo)
            }
        }
    }

    private fun worker(order: WorkerOrder) = workers.getValue(order.worker.id)

    private fun arrive(call: Call) {
        val worker = worker(call.order)
        if (!reaches(call.host, worker.ref.id)) return
        if (!worker.isUp) {
            hanging.getOrPut(worker.ref.id) { ArrayList() } += call
            return
        }
        val result = carryOut(call, worker.incarnation)
        answerOrWait(call, worker.incarnation, result, call.order.longestWaitMillis)
    }

    private fun carryOut(call: Call, sentTo: Int): WorkerAnswer {
        val worker = worker(call.order)
        if (worker.incarnation != sentTo) strayOrders++
        val result = worker.carryOut(call.order, now) {
            log("begins $it on ${worker.ref.id} by ${call.host}")
            monitor.onRunBegun(worker, it, now)
        }
        if (call.order !is PollOrder || result is WorkerAnswer.Rejected) {
            log("  ${worker.ref.id} ${call.order} -> $result")
        }
        return result
    }

    private fun answerOrWait(call: Call, incarnation: Int, result: WorkerAnswer, leftMillis: Long) {
        val worker = worker(call.order)
        if (leftMillis > 0 && result.waitsForEnd) {
            val stepMillis = minOf(leftMillis, ModelWorker.WAIT_STEP_MILLIS)
            time.at(now + stepMillis) {
                if (!worker.isUp || worker.incarnation != incarnation) return@at
                val next = worker.answerWaiting(call.order as PollOrder, now)
                answerOrWait(call, incarnation, next, leftMillis - stepMillis)
            }
            return
        }
        time.at(now + delayMillis()) { if (reaches(call.host, worker.ref.id)) call.end(result) }
    }

    protected fun observe(endMillis: Long) {
        workers.values.forEach { it.advance(now) }
        if (now < endMillis) time.at(now + OBSERVE_MILLIS) { observe(endMillis) }
    }

    /** Checks that all of the [count] tasks of [workflow] run. */
    protected fun checkRunning(workflow: String, count: Int) {
        val running = workers.values.filter { it.isUp }.flatMap { it.running }.toSet()
        (0 until count).map { TaskName(workflow, 0, 0, it) }.filter { it !in running }
            .forEach { monitor.violations += Violation("does not run at the end", it, now) }
    }

    protected companion object {
        const val SERVICE = "service"
        const val TIMEOUT_MILLIS = 600L
        const val OBSERVE_MILLIS = 100L
        const val CAPACITY_MILLI_CPUS = 12_000L
        const val CAPACITY_MEGABYTES = 64_000L
        val QUEUE = QueuePolicy("queue", SERVICE)

        fun workflow(id: String, tasks: Int, isLongRunning: Boolean, nowMillis: Long): Workflow {
            val step = WorkflowStep(tasks, Resources(1_000, 1_000), isLongRunning = isLongRunning)
            return Workflow(id, QUEUE, "payload", listOf(step), submittedMillis = nowMillis)
        }
    }
}
