package sycamoremast.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single
import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerReport

class WorkerStateTest {
    private val profile =
        WorkerProfile("w", "r", Resources(4_000, 4_000), 100, LONGEST_LEASE_MILLIS)
    private val worker = WorkerState(profile, 0)

    @Test
    fun `stops tasks when the lease measured from the echoed clock reading expires`() {
        renew(now = 1_000, echo = 400, ttl = 1_000)
        start("t", now = 1_000)
        expectThat(report(now = 1_399).tasks.single().phase).isEqualTo(TaskPhase.RUNNING)
        expectThat(report(now = 1_400).tasks.single().phase).isEqualTo(TaskPhase.STOPPED)
    }

    @Test
    fun `grants no lease for a clock reading from the future`() {
        renew(now = 1_000, echo = 5_000, ttl = 1_000)
        expectThat(start("t", now = 1_000)).isEqualTo(WorkerResponse.Refused("no lease"))
    }

    @Test
    fun `grants no lease for a clock reading from before a restart`() {
        renew(now = 1_000, echo = 900, ttl = 1_000)
        worker.restart(1_100)
        renew(now = 1_200, echo = 1_000, ttl = 1_000)
        expectThat(start("t", now = 1_200)).isEqualTo(WorkerResponse.Refused("no lease"))
        renew(now = 1_300, echo = 100, ttl = 1_000)
        expectThat(start("t", now = 1_300)).isA<WorkerResponse.Done<TaskReport>>()
    }

    // Guards against a model in which no reading of an earlier incarnation passes for a later one.
    @Test
    fun `each incarnation has a clock that starts anew`() {
        expectThat(report(now = 700).clockMillis).isEqualTo(700)
        worker.restart(1_000)
        expectThat(report(now = 1_200).clockMillis).isEqualTo(200)
        renew(now = 2_000, echo = 700, ttl = 1_000)
        start("t", now = 2_000)
        expectThat(report(now = 2_699).tasks.single().phase).isEqualTo(TaskPhase.RUNNING)
        expectThat(report(now = 2_700).tasks.single().phase).isEqualTo(TaskPhase.STOPPED)
    }

    @Test
    fun `a lease is cut to the longest one`() {
        renew(now = 1_000, echo = 1_000, ttl = LONGEST_LEASE_MILLIS + 50_000)
        expectThat(report(now = 1_000).leaseRemainingMillis).isEqualTo(LONGEST_LEASE_MILLIS)
    }

    @Test
    fun `a new incarnation takes calls with any epoch and knows no task`() {
        renew(now = 0, echo = 0, epoch = 5)
        start("t", now = 0, epoch = 5)
        worker.restart(1_000)
        expectThat(report(now = 1_100).tasks).isEmpty()
        renew(now = 1_200, echo = 100)
        expectThat(start("t", now = 1_200)).isA<WorkerResponse.Done<TaskReport>>()
    }

    @Test
    fun `rejects a stale epoch in every call`() {
        renew(now = 0, echo = 0, epoch = 5)
        val stale = WorkerResponse.Stale(5)
        expectThat(worker.renew(LeaseRenewal("o", 4, 100, 0), 1)).isEqualTo(stale)
        expectThat(start("t", now = 1, epoch = 4)).isEqualTo(stale)
        val control = ControlOrder("t", 4, TaskAction.STOP)
        expectThat(worker.control(control, 1)).isEqualTo(stale)
    }

    @Test
    fun `keeps running tasks when a new owner echoes no valid clock reading`() {
        renew(now = 0, echo = 0, ttl = 1_000)
        start("t", now = 0)
        renew(now = 10, echo = -500_000, ttl = 1_000, epoch = 2)
        expectThat(report(now = 500, epoch = 2).tasks.single().phase).isEqualTo(TaskPhase.RUNNING)
    }

    @Test
    fun `runs a repeated start once and refuses the next attempt while it runs`() {
        renew(now = 0, echo = 0)
        start("t", now = 0)
        expectThat(start("t", now = 1)).isA<WorkerResponse.Done<TaskReport>>()
        expectThat(worker.history()).hasSize(1)
        expectThat(start("t", now = 1, attempt = 2))
            .isEqualTo(WorkerResponse.Refused("attempt 1 is running"))
    }

    @Test
    fun `refuses a start beyond the capacity`() {
        renew(now = 0, echo = 0)
        start("a", now = 0, milliCpus = 3_000)
        expectThat(start("b", now = 0, milliCpus = 1_001)).isA<WorkerResponse.Refused>()
        expectThat(start("c", now = 0, milliCpus = 1_000)).isA<WorkerResponse.Done<TaskReport>>()
    }

    @Test
    fun `keeps a result until it is acknowledged`() {
        renew(now = 0, echo = 0)
        start("t", now = 0)
        expectThat(report(now = 5_000).tasks).single().get { result }.isEqualTo("t done")
        worker.renew(LeaseRenewal("o", 1, 100, 0, listOf("t")), 5_000)
        expectThat(report(now = 5_000).tasks).isEmpty()
    }

    @Test
    fun `resumes a task from its last checkpoint`() {
        renew(now = 0, echo = 0)
        val resumed = StartOrder("t", 2, 1, Resources(1, 1), 1_000, Checkpoint(3, 900))
        worker.start(resumed, 0)
        expectThat(report(now = 99).tasks.single().phase).isEqualTo(TaskPhase.RUNNING)
        expectThat(report(now = 100).tasks.single().phase).isEqualTo(TaskPhase.FINISHED)
    }

    @Test
    fun `slows a sensitive task down threefold beside a noisy one`() {
        renew(now = 0, echo = 0)
        start("slow", now = 0, command = "sensitive")
        start("loud", now = 0, command = "noisy runtimePercent=1000")
        expectThat(finishMillis("slow")).isEqualTo(3_000)
        expectThat(finishMillis("loud")).isEqualTo(10_000)
    }

    @Test
    fun `fails each task under the fault and drops all tasks on restart`() {
        renew(now = 0, echo = 0)
        worker.failEveryTask = true
        start("t", now = 0)
        expectThat(report(now = 10).tasks.single().phase).isEqualTo(TaskPhase.FAILED)
        worker.restart(20)
        expectThat(report(now = 20).tasks).isEmpty()
        expectThat(worker.history()).single().get { endedMillis }.isEqualTo(10)
    }

    private fun finishMillis(taskId: String): Long = (0L..10_500L step 10).first { now ->
        report(now).tasks.single { it.taskId == taskId }.phase == TaskPhase.FINISHED
    }

    private fun renew(now: Long, echo: Long, ttl: Long = 100_000, epoch: Long = 1) =
        worker.renew(LeaseRenewal("o", epoch, ttl, echo), now)

    private fun report(now: Long, epoch: Long = 1): WorkerReport {
        val response = worker.renew(LeaseRenewal("o", epoch, 0, now), now)
        return (response as WorkerResponse.Done<WorkerReport>).value
    }

    private companion object {
        const val LONGEST_LEASE_MILLIS = 100_000L
    }

    private fun start(
        id: String,
        now: Long,
        attempt: Int = 1,
        epoch: Long = 1,
        milliCpus: Long = 1_000,
        command: String = ""
    ) = worker.start(
        StartOrder(id, attempt, epoch, Resources(milliCpus, 1), 1_000, command = command),
        now
    )
}
