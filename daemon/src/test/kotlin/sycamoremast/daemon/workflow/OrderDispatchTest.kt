package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.SECONDS
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.OrderWindow
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.RejectReason
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerOrder
import sycamoremast.coordination.workflow.WorkerRef
import sycamoremast.daemon.control.eventually
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.RelayedAnswer
import sycamoremast.daemon.peer.RelayedAnswers
import sycamoremast.daemon.peer.RelayedOrder

class OrderDispatchTest {
    private val direct = SilentWorkers()
    private val relays = FakeRelays("a1" to "a", "b1" to "b")
    private val clock = MonotonicClock.system()
    private val answers = LinkedBlockingQueue<WorkerAnswer>()
    private val dispatch = OrderDispatch(
        1,
        direct,
        relays,
        clock,
        EventLog {
        },
        MOST_DIRECT
    ).start()

    @AfterEach
    fun end() = dispatch.close()

    private fun ref(worker: String) = WorkerRef(worker, "address-$worker")

    private fun start(worker: String, index: Int = 0) =
        StartOrder(ref(worker), 1, TaskName("job", 0, 0, index), 1, "", "", 0)

    private fun send(order: StartOrder) = dispatch.start(order) { answers += it }

    private fun answer(): WorkerAnswer? = answers.poll(WAIT_SECONDS, SECONDS)

    private fun listLargeFleet() = (0..MOST_DIRECT).forEach {
        dispatch.listed("a-worker$it", "a")
        dispatch.listed("b-worker$it", "b")
    }

    @Test
    fun `the orders of a small fleet go out directly`() {
        dispatch.listed("w1", "a")
        send(start("w1"))
        expectThat(direct.next()).isEqualTo(start("w1"))
        expectThat(relays.sent).isEmpty()
    }

    @Test
    fun `the orders of a large fleet go through hosts of the workers' zones`() {
        listLargeFleet()
        send(start("a-worker1"))
        expectThat(relays.next()).isEqualTo("a1" to start("a-worker1"))
        send(start("b-worker1"))
        expectThat(relays.next()).isEqualTo("b1" to start("b-worker1"))
    }

    @Test
    fun `an answer comes back with the time of its receipt here`() {
        listLargeFleet()
        val before = clock.nowMillis()
        send(start("a-worker1"))
        relays.next()
        val number = relays.sent.single().number
        val relayed = RelayedAnswer(number, WorkerAnswer.Done(7, receivedMillis = -1))
        dispatch.answered(RelayedAnswers(listOf(relayed)))
        expectThat(answer()).isNotNull().isA<WorkerAnswer.Done>().and {
            get { clockMillis }.isEqualTo(7)
            get { receivedMillis >= before }.isEqualTo(true)
        }
    }

    @Test
    fun `what was sent through a host that is gone is unknown, and the next goes elsewhere`() {
        listLargeFleet()
        send(start("a-worker1"))
        relays.next()
        relays.hosts -= "a1"
        expectThat(answer()).isNotNull().isA<WorkerAnswer.Unknown>()
        send(start("a-worker1"))
        expectThat(relays.next()).isEqualTo("b1" to start("a-worker1"))
    }

    @Test
    fun `no poll is forgotten when the host that it is to go through is gone`() {
        listLargeFleet()
        send(start("a-worker1"))
        relays.next()
        relays.hosts -= "a1"
        val settled = ConcurrentHashMap.newKeySet<Long>()
        for (n in 1L..POLLS) {
            dispatch.poll(PollOrder(ref("a-worker1"), 1, n, null, 0, 0)) { settled += n }
            Thread.sleep(1)
        }
        eventually("every poll was sent or answered") {
            relays.sent.mapNotNullTo(settled) { (it.order as? PollOrder)?.acknowledgedEnd }
            settled.size == POLLS
        }
    }

    @Test
    fun `an order that the window leaves no room for comes back unsent`() {
        dispatch.listed("w1", "a")
        repeat(OrderWindow.INITIAL_ORDERS + 1) { send(start("w1", it)) }
        expectThat(answer()).isEqualTo(WorkerAnswer.Rejected(RejectReason.CONGESTED))
        expectThat(direct.orders).hasSize(OrderWindow.INITIAL_ORDERS)
    }

    @Test
    fun `polls pass by orders that wait, and stops go before starts`() {
        dispatch.listed("w1", "a")
        repeat(OrderWindow.INITIAL_ORDERS + 1) { send(start("w1", it)) }
        repeat(OrderWindow.INITIAL_ORDERS) { direct.next() }
        val stop = StopOrder(ref("w1"), 1, TaskName("other", 0, 0, 0), 1)
        dispatch.stop(stop) { }
        val poll = PollOrder(ref("w1"), 1, 0, null, 0, 0)
        dispatch.poll(poll) { }
        expectThat(direct.next()).isEqualTo(poll)
        direct.answerFirst(WorkerAnswer.Done(1, 1))
        expectThat(direct.next()).isEqualTo(stop)
    }

    private companion object {
        const val MOST_DIRECT = 4
        const val POLLS = 200
        const val WAIT_SECONDS = 30L
    }
}

/** Workers that answer only where a test says so. */
private class SilentWorkers : RunPort {
    val orders = CopyOnWriteArrayList<WorkerOrder>()
    private val fresh = LinkedBlockingQueue<WorkerOrder>()
    private val pending = LinkedBlockingQueue<(WorkerAnswer) -> Unit>()

    fun next(): WorkerOrder? = fresh.poll(30, SECONDS)

    fun answerFirst(answer: WorkerAnswer) = pending.remove()(answer)

    private fun take(order: WorkerOrder, done: (WorkerAnswer) -> Unit) {
        pending += done
        orders += order
        fresh += order
    }

    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) = take(order, done)

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = take(order, done)

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = take(order, done)

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = take(order, done)
}

/** Hosts with their availability zones, which take orders and answer none. */
private class FakeRelays(vararg zones: Pair<String, String>) : Relays {
    private val zones = mapOf(*zones)
    val hosts = CopyOnWriteArrayList(this.zones.keys)
    val sent = CopyOnWriteArrayList<RelayedOrder>()
    private val fresh = LinkedBlockingQueue<Pair<String, WorkerOrder>>()

    fun next(): Pair<String, WorkerOrder>? = fresh.poll(30, SECONDS)

    override fun connect() = Unit

    override fun connected() = hosts.map { RelayHost(it, zones.getValue(it), strength = 1.0) }

    override fun send(host: String, orders: List<RelayedOrder>): Boolean {
        sent += orders
        orders.forEach { fresh += host to it.order }
        return true
    }
}
