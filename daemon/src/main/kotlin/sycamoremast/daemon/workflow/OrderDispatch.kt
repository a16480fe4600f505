/**
 * Sends an owner's orders to workers, through relays if the fleet is too large for one host.
 *
 * Each channel to the workers limits the number of unanswered orders by a window, and those to a
 * worker that doesn't answer. Further orders wait in the channel's queue, and an order that has
 * waited too long, or for a silent worker, is rejected unsent. Polls bypass the queue, so that
 * leases don't expire behind queued starts. A relay that doesn't answer is replaced by another one.
 *
 * Except for the list of workers, all state is confined to one thread.
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
import sycamoremast.daemon.log.BoundedLog
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.RelayedAnswers
import sycamoremast.daemon.peer.RelayedOrder

/** The other hosts that relay orders to workers. */
internal interface Relays {
    /** Connects to the hosts that are eligible as relays; returns at once. */
    fun connect()

    /** Returns the hosts that are currently connected. */
    fun connected(): List<RelayHost>

    /** Sends [orders] to [host]; returns false if none of them was sent. */
    fun send(host: String, orders: List<RelayedOrder>): Boolean

    /** The absence of relays. */
    object None : Relays {
        override fun connect() = Unit

        override fun connected(): List<RelayHost> = emptyList()

        override fun send(host: String, orders: List<RelayedOrder>) = false
    }
}

/**
 * Sends the orders of [epoch] through [direct], or through [relays] if there are more than
 * [maxDirectWorkers] workers.
 */
internal class OrderDispatch(
    epoch: Long,
    direct: RunPort,
    private val relays: Relays,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val maxDirectWorkers: Int = MAX_DIRECT_WORKERS
) : RunPort,
    AutoCloseable {
    private val direct = GuardedRunPort(direct, clock, log)
    private val relayFailures = BoundedLog(log, clock, "relay-failed")
    private val inbox = LinkedBlockingQueue<() -> Unit>()
    private val zones = ConcurrentHashMap<String, String>()

    /** Orders sent but not yet answered, by number. */
    private val inFlight = HashMap<Long, DispatchedOrder>()
    private val directChannel = OrderChannel(null)

    /** The channels through relays, by host. */
    private val relayChannels = HashMap<String, OrderChannel>()

    /** The channels for a worker in order of preference, by worker; computed on first use. */
    private val preferredChannels = HashMap<String, List<OrderChannel>>()

    /** The number of failed orders by worker; each failure moves the worker to its next channel. */
    private val failureCounts = HashMap<String, Int>()
    private var usableRelays = emptyList<RelayHost>()

    /** Orders held until relays are connected, which takes a moment after a change of the owner. */
    private val heldOrders = ArrayList<DispatchedOrder>()
    private val holdUntilMillis = clock.nowMillis() + MAX_HOLD_MILLIS

    /** Includes the epoch, so that late answers to orders of earlier epochs match no order. */
    private var lastOrderNumber = epoch shl Int.SIZE_BITS
    private var nextSweepMillis = Long.MIN_VALUE

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, "order-dispatch").apply { isDaemon = true }

    /** Whether the fleet is too large for one host to send all orders. */
    val isLargeFleet: Boolean get() = zones.size > maxDirectWorkers

    fun start() = apply { thread.start() }

    /** Adds [worker], or updates its availability zone [zone]. */
    fun addWorker(worker: String, zone: String) {
        zones[worker] = zone
    }

    fun removeWorker(worker: String) {
        zones -= worker
    }

    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = submit(order, done)

    private fun submit(order: WorkerOrder, done: (WorkerAnswer) -> Unit) = enqueue {
        route(DispatchedOrder(++lastOrderNumber, order, clock.nowMillis(), done))
    }

    /** Processes answers from a relay. */
    fun onRelayedAnswers(answers: RelayedAnswers) = enqueue {
        answers.answers.forEach { complete(it.number, it.answer) }
    }

    private fun enqueue(action: () -> Unit) {
        inbox += action
    }

    private fun run() {
        while (isOpen) {
            try {
                inbox.poll(SWEEP_INTERVAL_MILLIS, MILLISECONDS)?.invoke()
                // Orders that arrive within a short time are sent in one message.
                if (usableRelays.isNotEmpty()) Thread.sleep(BATCH_DELAY_MILLIS)
                while (isOpen) (inbox.poll() ?: break).invoke()
                val now = clock.nowMillis()
                if (now >= nextSweepMillis) sweep(now)
                relayChannels.values.forEach { flush(it, now) }
                flush(directChannel, now)
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("order-dispatch-error", "error" to e, "at" to e.stackTrace.firstOrNull())
            }
        }
    }

    private fun route(entry: DispatchedOrder) {
        if (isLargeFleet && usableRelays.isEmpty() && clock.nowMillis() < holdUntilMillis) {
            heldOrders += entry
            return
        }
        val channel = channelFor(entry.order.worker.id)
        channel.add(entry)
    }

    private fun channelFor(worker: String): OrderChannel {
        if (usableRelays.isEmpty()) return directChannel
        val channels = preferredChannels.getOrPut(worker) {
            RelayChoice.ranked(worker, zones[worker], usableRelays).take(MAX_RELAYS_PER_WORKER)
                .map { relayChannels.getOrPut(it) { OrderChannel(it) } } + directChannel
        }
        return channels[(failureCounts[worker] ?: 0) % channels.size]
    }

    private fun flush(channel: OrderChannel, nowMillis: Long) {
        val batch = channel.nextBatch(nowMillis)
        if (batch.isEmpty()) return
        batch.associateByTo(inFlight) { it.number }
        if (channel.host == null) batch.forEach(::sendDirect) else sendRelayed(channel.host, batch)
    }

    private fun sendDirect(entry: DispatchedOrder) = direct.send(entry.order) { answer ->
        enqueue { complete(entry.number, answer) }
    }

    private fun sendRelayed(host: String, batch: List<DispatchedOrder>) {
        val failure = try {
            if (relays.send(host, batch.map { RelayedOrder(it.number, it.order) })) return
            NOT_SENT
        } catch (e: RuntimeException) {
            relayFailures.add(
                "step" to "relay-orders",
                "peer" to host,
                "orders" to batch.size,
                "reason" to e,
                "at" to e.stackTrace.firstOrNull()
            )
            // Some of the orders may have been sent before.
            WorkerAnswer.Unknown("sending failed: $e")
        }
        if (failure != NOT_SENT || batch.size == 1) {
            batch.forEach { complete(it.number, failure) }
        } else {
            // A message of all orders may be too large.
            batch.chunked((batch.size + 1) / 2).forEach { sendRelayed(host, it) }
        }
    }

    private fun complete(number: Long, answer: WorkerAnswer) {
        val entry = inFlight.remove(number) ?: return
        val now = clock.nowMillis()
        entry.channel?.onAnswer(entry, answer, now)
        if (answer is WorkerAnswer.Unknown ||
            answer == NOT_SENT
        ) {
            failureCounts.merge(entry.order.worker.id, 1, Int::plus)
        }
        entry.done(withReceiptTime(answer, now))
    }

    /** Returns [answer] with its receipt time replaced by a reading of this host's clock. */
    private fun withReceiptTime(answer: WorkerAnswer, nowMillis: Long) = when (answer) {
        is WorkerAnswer.Done -> answer.copy(receivedMillis = nowMillis)

        is WorkerAnswer.Reported ->
            WorkerAnswer.Reported(answer.report.copy(receivedMillis = nowMillis))

        is WorkerAnswer.Rejected, is WorkerAnswer.Unknown -> answer
    }

    private fun sweep(nowMillis: Long) {
        nextSweepMillis = nowMillis + SWEEP_INTERVAL_MILLIS
        inFlight.values.filter { it.deadlineMillis < nowMillis }.forEach { expire(it, nowMillis) }
        updateRelays(nowMillis)
        (relayChannels.values + directChannel).forEach { giveBackOverdue(it, log, nowMillis) }
    }

    private fun expire(entry: DispatchedOrder, nowMillis: Long) {
        val channel = entry.channel
        val previousAnswerMillis = channel?.lastAnswerMillis ?: 0
        complete(
            entry.number,
            WorkerAnswer.Unknown("no answer through ${channel?.host ?: "itself"}")
        )
        if (channel?.host == null || previousAnswerMillis > entry.sentMillis) return
        channel.lastAnswerMillis = previousAnswerMillis
        if (channel.suspectUntilMillis < nowMillis) {
            log.add("relay-silent", "peer" to channel.host, "sinceMillis" to entry.sentMillis)
        }
        channel.suspectUntilMillis = nowMillis + SUSPECT_DURATION_MILLIS
    }

    private fun updateRelays(nowMillis: Long) {
        if (isLargeFleet) relays.connect()
        val connected = if (isLargeFleet) relays.connected() else emptyList()
        val names = connected.mapTo(HashSet()) { it.name }
        for (channel in relayChannels.values.filter { it.host !in names }) removeChannel(channel)
        val next = RelayChoice.eligible(
            connected.filter {
                (relayChannels[it.name]?.suspectUntilMillis ?: nowMillis) <= nowMillis
            }
        )
        if (next.toSet() != usableRelays.toSet()) useRelays(next)
        if (heldOrders.isEmpty() || (usableRelays.isEmpty() && nowMillis < holdUntilMillis)) return
        heldOrders.toList().also { heldOrders.clear() }.forEach(::route)
    }

    private fun useRelays(next: List<RelayHost>) {
        log.add(
            "relays",
            "usable" to next.size,
            "before" to usableRelays.size,
            "workers" to zones.size
        )
        usableRelays = next
        preferredChannels.clear()
        failureCounts.clear()
        relayChannels.values.flatMap { it.takeUnsent() }.forEach(::route)
    }

    /**
     * Removes the channel of a disconnected relay.
     *
     * Orders passed to the relay may have reached their
     * workers, so their outcome is unknown; unsent orders are routed again.
     */
    private fun removeChannel(channel: OrderChannel) {
        relayChannels -= checkNotNull(channel.host) { "this host itself is no relay" }
        preferredChannels.clear()
        val sent = inFlight.values.filter { it.channel === channel }
        sent.forEach { complete(it.number, WorkerAnswer.Unknown("${channel.host} disconnected")) }
        usableRelays = usableRelays.filter { it.name != channel.host }
        failureCounts.clear()
        channel.takeUnsent().forEach(::route)
    }

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    companion object {
        /** A number of workers that one host of the smallest deployments serves well. */
        const val MAX_DIRECT_WORKERS = 64
        private val NOT_SENT = WorkerAnswer.Rejected(RejectReason.NOT_SENT)

        /** Leaves time to connect to relays; a new owner's polls shouldn't wait any longer. */
        private const val MAX_HOLD_MILLIS = 500L
        private const val SWEEP_INTERVAL_MILLIS = 50L
        private const val BATCH_DELAY_MILLIS = 3L

        /** How long a relay that didn't answer is avoided. */
        private const val SUSPECT_DURATION_MILLIS = 2_000L

        /** The number of relays tried for a worker before the direct channel. */
        private const val MAX_RELAYS_PER_WORKER = 3
    }
}

private fun giveBackOverdue(channel: OrderChannel, log: EventLog, nowMillis: Long) {
    val overdue = channel.takeOverdue(nowMillis)
    if (overdue.isEmpty()) return
    log.add(
        "orders-given-back",
        "peer" to (channel.host ?: "itself"),
        "count" to overdue.size,
        "window" to channel.windowLimit,
        "silentWorkers" to channel.silentWorkerCount(nowMillis)
    )
    overdue.forEach {
        val reason = channel.unsentReason(it.order.worker.id, nowMillis)
        it.done(WorkerAnswer.Rejected(reason))
    }
}
