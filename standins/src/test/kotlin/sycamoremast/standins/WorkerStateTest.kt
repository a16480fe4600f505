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
    private val profile = WorkerProfile("w", "r", Resources(4_000, 4_000), 100)
    private val worker = WorkerState(profile, 0)

    @Test
    fun `a lease ends its time after the reading that the renewal echoes`() {
        renew(now = 1_000, echo = 400, ttl = 1_000)
        start("t", now = 1_000)
        expectThat(report(now = 1_399).tasks.single().phase).isEqualTo(TaskPhase.RUNNING)
        expectThat(report(now = 1_400).tasks.single().phase).isEqualTo(TaskPhase.STOPPED)
    }

    @Test
    fun `a reading from the future grants nothing`() {
        renew(now = 1_000, echo = 5_000, ttl = 1_000)
        expectThat(start("t", now = 1_000)).isEqualTo(WorkerAnswer.Refused("no lease"))
    }

    @Test
    fun `a reading from before a restart grants nothing`() {
        renew(now = 1_000, echo = 900, ttl = 1_000)
        worker.restart(1_100)
        renew(now = 1_200, echo = 1_000, ttl = 1_000)
        expectThat(start("t", now = 1_200)).isEqualTo(WorkerAnswer.Refused("no lease"))
        renew(now = 1_300, echo = 1_200, ttl = 1_000)
        expectThat(start("t", now = 1_300)).isA<WorkerAnswer.Done<TaskReport>>()
    }

    @Test
    fun `a lower epoch is refused by every call`() {
        renew(now = 0, echo = 0, epoch = 5)
        val stale = WorkerAnswer.Stale(5)
        expectThat(worker.renew(LeaseRenewal("o", 4, 100, 0), 1)).isEqualTo(stale)
        expectThat(start("t", now = 1, epoch = 4)).isEqualTo(stale)
        val control = ControlOrder("t", 4, TaskAction.STOP)
        expectThat(worker.control(control, 1)).isEqualTo(stale)
    }

    @Test
    fun `a new owner that doesn't know the clock keeps the running tasks`() {
        renew(now = 0, echo = 0, ttl = 1_000)
        start("t", now = 0)
        renew(now = 10, echo = -500_000, ttl = 1_000, epoch = 2)
        expectThat(report(now = 500, epoch = 2).tasks.single().phase).isEqualTo(TaskPhase.RUNNING)
    }

    @Test
    fun `a repeated start runs once and a later attempt waits for the end`() {
        renew(now = 0, echo = 0)
        start("t", now = 0)
        expectThat(start("t", now = 1)).isA<WorkerAnswer.Done<TaskReport>>()
        expectThat(worker.history()).hasSize(1)
        expectThat(start("t", now = 1, attempt = 2))
            .isEqualTo(WorkerAnswer.Refused("attempt 1 is running"))
    }

    @Test
    fun `a start beyond the capacity is refused`() {
        renew(now = 0, echo = 0)
        start("a", now = 0, milliCpus = 3_000)
        expectThat(start("b", now = 0, milliCpus = 1_001)).isA<WorkerAnswer.Refused>()
        expectThat(start("c", now = 0, milliCpus = 1_000)).isA<WorkerAnswer.Done<TaskReport>>()
    }

    @Test
    fun `a result is kept until it is acknowledged`() {
        renew(now = 0, echo = 0)
        start("t", now = 0)
        expectThat(report(now = 5_000).tasks).single().get { result }.isEqualTo("t done")
        worker.renew(LeaseRenewal("o", 1, 100, 0, listOf("t")), 5_000)
        expectThat(report(now = 5_000).tasks).isEmpty()
    }

    @Test
    fun `a task goes on from its last checkpoint`() {
        renew(now = 0, echo = 0)
        val resumed = StartOrder("t", 2, 1, Resources(1, 1), 1_000, Checkpoint(3, 900))
        worker.start(resumed, 0)
        expectThat(report(now = 99).tasks.single().phase).isEqualTo(TaskPhase.RUNNING)
        expectThat(report(now = 100).tasks.single().phase).isEqualTo(TaskPhase.FINISHED)
    }

    @Test
    fun `a noisy neighbour slows a sensitive task down threefold`() {
        renew(now = 0, echo = 0)
        start("slow", now = 0, command = "sensitive")
        start("loud", now = 0, command = "noisy runtimePercent=1000")
        expectThat(finishMillis("slow")).isEqualTo(3_000)
        expectThat(finishMillis("loud")).isEqualTo(10_000)
    }

    @Test
    fun `a failing worker fails each task and a restart forgets them`() {
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
        val answer = worker.renew(LeaseRenewal("o", epoch, 0, now), now)
        return (answer as WorkerAnswer.Done<WorkerReport>).value
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
