package sycamoremast.daemon.platform

import arrow.core.Either
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerReport
import sycamoremast.standins.WorkerFaults
import sycamoremast.standins.WorkerServer
import sycamoremast.standins.WorkerSettings

class HttpWorkerPortTest {
    private val server = WorkerServer.start(WorkerSettings(workers = 2))
    private val worker = HttpWorkerPort.at(server.address(1), testClient())

    @AfterEach
    fun close() = server.close()

    @Test
    fun `a task is started under a lease, checkpointed, throttled and stopped`() {
        acquireLease()
        expectThat(value(worker.start(order("t"))).phase).isEqualTo(TaskPhase.RUNNING)
        val saved = value(worker.control("t", 1, TaskAction.CHECKPOINT))
        expectThat(saved.checkpoint?.sequence).isEqualTo(1)
        expectThat(value(worker.control("t", 1, TaskAction.THROTTLE)).throttled).isEqualTo(true)
        val stopped = value(worker.control("t", 1, TaskAction.STOP))
        expectThat(stopped.phase).isEqualTo(TaskPhase.STOPPED)
        expectThat(server.history()).single().get { worker }.isEqualTo("worker-1")
    }

    @Test
    fun `a stale epoch and a refusal give different errors`() {
        acquireLease(epoch = 4)
        val stale = error(worker.start(order("t", epoch = 3)))
        expectThat(stale).isA<WorkerError.StaleEpoch>().get { current }.isEqualTo(4)
        server.setFaults(WorkerFaults(refuse = true), 1)
        expectThat(error(worker.start(order("t", epoch = 4)))).isA<WorkerError.Refused>()
        expectThat(server.history()).isEmpty()
    }

    @Test
    fun `a response that times out is reported as lost and a repeated start is confirmed`() {
        acquireLease()
        server.setFaults(WorkerFaults(freeze = true), 1)
        expectThat(error(worker.start(order("t")))).isA<WorkerError.AnswerLost>()
        server.setFaults(WorkerFaults(), 1)
        expectThat(value(worker.start(order("t"))).phase).isEqualTo(TaskPhase.RUNNING)
        expectThat(server.history()).single().get { attempt }.isEqualTo(1)
    }

    @Test
    fun `a refused connection is reported as not sent`() {
        val closed = HttpWorkerPort.at(closedAddress(), testClient())
        expectThat(error(closed.start(order("t")))).isA<WorkerError.NotSent>()
    }

    private fun acquireLease(epoch: Long = 1): WorkerReport {
        val clock = value(worker.renew(LeaseRenewal("o", epoch, 1, 0))).clockMillis
        return value(worker.renew(LeaseRenewal("o", epoch, 60_000, clock)))
    }

    private fun order(id: String, epoch: Long = 1) =
        StartOrder(id, 1, epoch, Resources(1_000, 1_000), 60_000)

    private fun <T> value(result: Either<WorkerError, T>): T =
        result.fold({ throw AssertionError("failed: $it") }, { it })

    private fun <T> error(result: Either<WorkerError, T>): WorkerError =
        result.fold({ it }, { throw AssertionError("succeeded: $it") })
}
