/**
 * Answers orders whose sending throws, so that whoever sends several goes on with the next one.
 *
 * Such an order counts as one without an answer: what threw may have sent it before.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.atomic.AtomicBoolean
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerOrder
import sycamoremast.coordination.workflow.send
import sycamoremast.daemon.log.BoundedLog
import sycamoremast.daemon.log.EventLog

/** Passes orders on to [runs]; never throws, and answers each order once. */
internal class GuardedRunPort(private val runs: RunPort, clock: MonotonicClock, log: EventLog) :
    RunPort {
    private val failures = BoundedLog(log, clock, "order-failed")

    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) =
        guard("start", order, done)

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = guard("stop", order, done)

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = guard("poll", order, done)

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = guard("pace", order, done)

    private fun guard(step: String, order: WorkerOrder, done: (WorkerAnswer) -> Unit) {
        val isAnswered = AtomicBoolean()
        val answer = { answer: WorkerAnswer -> if (!isAnswered.getAndSet(true)) done(answer) }
        try {
            runs.send(order, answer)
        } catch (e: RuntimeException) {
            val worker = order.worker
            failures.add(
                "step" to step,
                "peer" to "${worker.id}@${worker.address}",
                "reason" to e,
                "at" to e.stackTrace.firstOrNull()
            )
            answer(WorkerAnswer.Unknown("sending failed: $e"))
        }
    }
}
