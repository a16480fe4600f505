/**
 * Sends an owner's orders to workers, through other hosts where the fleet is too large for one.
 *
 * Each way to the workers has a window of orders without an answer; what exceeds it waits here, and
 * an order that has waited too long is given back unsent. Polls pass by that queue, so that leases
 * never lapse behind starts. A way that doesn't answer is left for another one.
 *
 * All state belongs to one thread.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.MILLISECONDS
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.RejectReason
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerOrder
import sycamoremast.coordination.workflow.send
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.RelayedAnswers
import sycamoremast.daemon.peer.RelayedOrder

/** The other hosts that pass on orders. */
internal interface Relays {
    /** Sees to it that the hosts worth using get connected. */
    fun connect()

    /** Returns the hosts that are connected now. */
    fun connected(): List<RelayHost>

    /** Sends [orders] to [host]; returns false if none of them left. */
    fun send(host: String, orders: List<RelayedOrder>): Boolean

    /** No other host passes on orders. */
    object None : Relays {
        override fun connect() = Unit

        override fun connected(): List<RelayHost> = emptyList()

        override fun send(host: String, orders: List<RelayedOrder>) = false
    }
}

/**
 * Sends the orders of [epoch] by [direct], or by [relays] where more than [mostDirect] workers are
 * listed.
 */
internal class OrderDispatch(
    epoch: Long,
    private val direct: RunPort,
    private val relays: Relays,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val mostDirect: Int = MOST_DIRECT_WORKERS
) : RunPort,
    AutoCloseable {
    private val inbox = LinkedBlockingQueue<() -> Unit>()
    private val zones = ConcurrentHashMap<String, String>()
    private val underWay = HashMap<Long, DispatchedOrder>()
    private val own = OrderLane(null)
    private val lanes = HashMap<String, OrderLane>()
    private val choices = HashMap<String, List<OrderLane>>()
    private val failures = HashMap<String, Int>()
    private var usable = emptyList<RelayHost>()

    /** What waits until relays are connected, which takes a moment after a change of the owner. */
    private val held = ArrayList<DispatchedOrder>()
    private val heldUntilMillis = clock.nowMillis() + MOST_HOLD_MILLIS

    /** Late answers to an earlier epoch's orders match none of this one. */
    private var lastNumber = epoch shl Int.SIZE_BITS
    private var nextSweepMillis = Long.MIN_VALUE

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, "order-dispatch").apply { isDaemon = true }

    /** Whether the fleet is too large for one host's orders. */
    val isLarge: Boolean get() = zones.size > mostDirect

    fun start() = apply { thread.start() }

    /** Takes in that [worker] stands in the availability zone [zone]. */
    fun listed(worker: String, zone: String) {
        zones[worker] = zone
    }

    fun unlisted(worker: String) {
        zones -= worker
    }

    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    private fun submit(order: WorkerOrder, done: (WorkerAnswer) -> Unit) = tell {
        route(DispatchedOrder(++lastNumber, order, clock.nowMillis(), done))
    }

    /** Takes in what a relay returned. */
    fun answered(answers: RelayedAnswers) = tell {
        answers.answers.forEach { answered(it.number, it.answer) }
    }

    private fun tell(message: () -> Unit) {
        inbox += message
    }

    private fun run() {
        while (isOpen) {
            try {
                inbox.poll(SWEEP_MILLIS, MILLISECONDS)?.invoke()
                // What comes close together travels in one message.
                if (usable.isNotEmpty()) Thread.sleep(GATHER_MILLIS)
                while (isOpen) (inbox.poll() ?: break).invoke()
                val now = clock.nowMillis()
                if (now >= nextSweepMillis) sweep(now)
                lanes.values.forEach { flush(it, now) }
                flush(own, now)
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("order-dispatch-error", "error" to e, "at" to e.stackTrace.firstOrNull())
            }
        }
    }

    private fun route(entry: DispatchedOrder) {
        if (isLarge && usable.isEmpty() && clock.nowMillis() < heldUntilMillis) {
            held += entry
            return
        }
        val lane = choose(entry.order.worker.id)
        lane.add(entry)
    }

    private fun choose(worker: String): OrderLane {
        if (usable.isEmpty()) return own
        val choices = choices.getOrPut(worker) {
            RelayChoice.ranked(worker, zones[worker], usable).take(MOST_CHOICES)
                .map { lanes.getOrPut(it) { OrderLane(it) } } + own
        }
        return choices[(failures[worker] ?: 0) % choices.size]
    }

    private fun flush(lane: OrderLane, nowMillis: Long) {
        val batch = lane.nextBatch(nowMillis)
        if (batch.isEmpty()) return
        batch.associateByTo(underWay) { it.number }
        if (lane.host == null) batch.forEach(::sendDirect) else sendRelayed(lane.host, batch)
    }

    private fun sendDirect(entry: DispatchedOrder) = direct.send(entry.order) { answer ->
        tell { answered(entry.number, answer) }
    }

    private fun sendRelayed(host: String, batch: List<DispatchedOrder>) {
        if (relays.send(host, batch.map { RelayedOrder(it.number, it.order) })) return
        batch.forEach { answered(it.number, WorkerAnswer.Rejected(RejectReason.NOT_SENT)) }
    }

    private fun answered(number: Long, answer: WorkerAnswer) {
        val entry = underWay.remove(number) ?: return
        val now = clock.nowMillis()
        entry.lane?.answered(entry, answer, now)
        if (answer is WorkerAnswer.Unknown ||
            answer == NOT_SENT
        ) {
            failures.merge(entry.order.worker.id, 1, Int::plus)
        }
        entry.done(received(answer, now))
    }

    /** Times of receipt are readings of this host's clock. */
    private fun received(answer: WorkerAnswer, nowMillis: Long) = when (answer) {
        is WorkerAnswer.Done -> answer.copy(receivedMillis = nowMillis)

        is WorkerAnswer.Reported ->
            WorkerAnswer.Reported(answer.report.copy(receivedMillis = nowMillis))

        is WorkerAnswer.Rejected, is WorkerAnswer.Unknown -> answer
    }

    private fun sweep(nowMillis: Long) {
        nextSweepMillis = nowMillis + SWEEP_MILLIS
        underWay.values.filter { it.deadlineMillis < nowMillis }.forEach { expired(it, nowMillis) }
        lookAtRelays(nowMillis)
        val congested = (lanes.values + own).flatMap { it.takeOld(nowMillis) }
        congested.forEach { it.done(WorkerAnswer.Rejected(RejectReason.CONGESTED)) }
    }

    private fun expired(entry: DispatchedOrder, nowMillis: Long) {
        val lane = entry.lane
        val answeredBefore = lane?.answeredMillis ?: 0
        answered(entry.number, WorkerAnswer.Unknown("no answer through ${lane?.host ?: "itself"}"))
        if (lane?.host == null || answeredBefore > entry.sentMillis) return
        lane.answeredMillis = answeredBefore
        if (lane.suspectUntilMillis < nowMillis) {
            log.add("relay-silent", "peer" to lane.host, "sinceMillis" to entry.sentMillis)
        }
        lane.suspectUntilMillis = nowMillis + SUSPECT_MILLIS
    }

    private fun lookAtRelays(nowMillis: Long) {
        if (isLarge) relays.connect()
        val connected = if (isLarge) relays.connected() else emptyList()
        val names = connected.mapTo(HashSet()) { it.name }
        for (lane in lanes.values.filter { it.host !in names }) lost(lane)
        val next = RelayChoice.worthUsing(
            connected.filter { (lanes[it.name]?.suspectUntilMillis ?: nowMillis) <= nowMillis }
        )
        if (next.toSet() != usable.toSet()) use(next)
        if (held.isEmpty() || (usable.isEmpty() && nowMillis < heldUntilMillis)) return
        held.toList().also { held.clear() }.forEach(::route)
    }

    private fun use(next: List<RelayHost>) {
        log.add("relays", "usable" to next.size, "before" to usable.size, "workers" to zones.size)
        usable = next
        choices.clear()
        failures.clear()
        lanes.values.flatMap { it.takeUnsent() }.forEach(::route)
    }

    /** What a relay that is gone was to send may have been sent; what waited for it was not. */
    private fun lost(lane: OrderLane) {
        lanes -= checkNotNull(lane.host) { "this host itself is no relay" }
        choices.clear()
        val sent = underWay.values.filter { it.lane === lane }
        sent.forEach { answered(it.number, WorkerAnswer.Unknown("${lane.host} disconnected")) }
        usable = usable.filter { it.name != lane.host }
        failures.clear()
        lane.takeUnsent().forEach(::route)
    }

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    companion object {
        /** What one host of the smallest deployments serves well. */
        const val MOST_DIRECT_WORKERS = 64
        private val NOT_SENT = WorkerAnswer.Rejected(RejectReason.NOT_SENT)

        /** Connecting to other hosts takes some of this; a new owner's polls shouldn't wait longer. */
        private const val MOST_HOLD_MILLIS = 500L
        private const val SWEEP_MILLIS = 50L
        private const val GATHER_MILLIS = 3L

        /** How long a silent relay is left alone. */
        private const val SUSPECT_MILLIS = 2_000L

        /** Relays that a worker is tried through before this host itself. */
        private const val MOST_CHOICES = 3
    }
}
