/** Plays a steady flow of starts through an [OrderChannel] in virtual time, from a seed. */
package sycamoremast.daemon.workflow

import java.util.PriorityQueue
import kotlin.random.Random
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerRef

/** What goes wrong with a flow, besides what the host itself can't carry out. */
internal data class FlowFaults(
    val lossPercent: Int = 0,
    val silentWorkers: Int = 0,
    val darkMillis: IntRange = IntRange.EMPTY
)

/** How many answers a second a host brings about, and whether in the order of the calls. */
internal data class FlowLoad(val answersPerSecond: Int, val isInTurn: Boolean = true)

/** One start a millisecond, each to one of [workers] drawn at random. */
internal class ChannelFlow(
    private val workers: Int,
    seed: Int,
    private val faults: FlowFaults = FlowFaults(),
    private val load: FlowLoad? = null
) {
    private class Call(val entry: DispatchedOrder, val sentMillis: Int) {
        var isSettled = false
    }

    private class Due(val atMillis: Int, val call: Call, val answer: WorkerAnswer)

    private val channel = OrderChannel(null)
    private val random = Random(seed)
    private val due = PriorityQueue<Due>(compareBy { it.atMillis })
    private val carryingOut = ArrayList<Call>()
    private var inFlight = 0

    var answered = 0
        private set
    var answeredInLastSecond = 0
        private set
    var offeredToOthers = 0
        private set

    /** The starts that got no answer because of [faults]. */
    var lost = 0
        private set

    /** The starts that got no answer in time because of [load]. */
    var overloaded = 0
        private set
    var givenBack = 0
        private set
    var mostInFlight = 0
        private set

    /** The longest time that a start to a worker that answers was held back. */
    var longestWaitMillis = 0L
        private set

    fun run() = apply {
        for (now in 0 until FLOW_MILLIS + DRAIN_MILLIS) {
            settle(now)
            if (load != null) carryOut(load, now)
            if (now < FLOW_MILLIS) offer(now)
            if (now % SWEEP_MILLIS == 0) giveBack(now)
            channel.nextBatch(now.toLong()).forEach { send(it, now) }
            if (now > WARM_UP_MILLIS) mostInFlight = maxOf(mostInFlight, inFlight)
        }
    }

    private fun offer(now: Int) {
        val worker = random.nextInt(workers)
        if (!isSilent(worker)) offeredToOthers++
        channel.add(startOrder(now.toLong(), "$worker", now.toLong()))
    }

    private fun isSilent(worker: Int) = worker < faults.silentWorkers

    private fun giveBack(now: Int) = channel.takeOverdue(now.toLong()).forEach {
        givenBack++
        recordWait(it, now)
    }

    private fun recordWait(entry: DispatchedOrder, now: Int) {
        if (isSilent(entry.order.worker.id.toInt())) return
        longestWaitMillis = maxOf(longestWaitMillis, now - entry.submittedMillis)
    }

    private fun send(entry: DispatchedOrder, now: Int) {
        recordWait(entry, now)
        inFlight++
        val call = Call(entry, now)
        val isLost = isSilent(entry.order.worker.id.toInt()) ||
            now in faults.darkMillis ||
            random.nextInt(PERCENT) < faults.lossPercent
        if (isLost) {
            lost++
            due += Due(now + TIMEOUT_MILLIS, call, NO_ANSWER)
        } else if (load == null) {
            due += Due(now + ANSWER_MILLIS, call, DONE)
        } else {
            carryingOut += call
            due += Due(now + TIMEOUT_MILLIS, call, NO_ANSWER_UNDER_LOAD)
        }
    }

    private fun settle(now: Int) {
        while (due.isNotEmpty() && due.peek().atMillis <= now) {
            val next = due.remove()
            answer(next.call, next.answer, now)
        }
    }

    /** The host spends its time on late orders, too. */
    private fun carryOut(load: FlowLoad, now: Int) {
        val isOneDone = now * load.answersPerSecond / SECOND_MILLIS >
            (now - 1) * load.answersPerSecond / SECOND_MILLIS
        if (!isOneDone || carryingOut.isEmpty()) return
        val index = if (load.isInTurn) 0 else random.nextInt(carryingOut.size)
        answer(carryingOut.removeAt(index), DONE, now)
    }

    private fun answer(call: Call, answer: WorkerAnswer, now: Int) {
        if (call.isSettled) return
        call.isSettled = true
        inFlight--
        if (answer == NO_ANSWER_UNDER_LOAD) overloaded++
        if (answer == DONE) answered++
        if (answer == DONE && now in FLOW_MILLIS - SECOND_MILLIS until FLOW_MILLIS) {
            answeredInLastSecond++
        }
        channel.onAnswer(call.entry, answer, now.toLong())
    }

    companion object {
        const val FLOW_MILLIS = 5_000
        const val SECOND_MILLIS = 1_000
        val DONE = WorkerAnswer.Done(0, 0)
        private val NO_ANSWER = WorkerAnswer.Unknown("lost")
        private val NO_ANSWER_UNDER_LOAD = WorkerAnswer.Unknown("overloaded")
        private const val DRAIN_MILLIS = 2_000
        private const val WARM_UP_MILLIS = 1_000
        private const val SWEEP_MILLIS = 50
        private const val ANSWER_MILLIS = 5

        /** The time after which a call to a worker fails. */
        private const val TIMEOUT_MILLIS = 600
        private const val PERCENT = 100

        fun startOrder(number: Long, worker: String, nowMillis: Long): DispatchedOrder {
            val task = TaskName("job", 0, 0, number.toInt())
            val order = StartOrder(WorkerRef(worker, "address-$worker"), 1, task, 1, "", "", 0)
            return DispatchedOrder(number, order, nowMillis) { }
        }
    }
}
