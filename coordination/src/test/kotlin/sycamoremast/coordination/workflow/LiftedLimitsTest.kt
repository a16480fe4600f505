package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

class LiftedLimitsTest {
    private val driver = SchedulerDriver(epoch = 4)
    private val settings = SchedulerSettings()
    private val claimedMillis = driver.now
    private val heartbeat = RecordVersion(3, 7)
    private val hosts = setOf(HostProcess("h1"), HostProcess("h2"))

    /** The roster of the last owner, of which this one was a standby. */
    private fun inherit(vararg workers: String) = driver.scheduler.succession.addRoster(
        RosterRecord(
            workers.map(driver::ref),
            epoch = 3,
            batch = 7,
            standbys = hosts,
            host = "h1",
            needsWorkers = true
        ),
        StoreSightings(
            claimedMillis,
            heartbeats = mapOf(heartbeat to claimedMillis),
            process = HostProcess("h1")
        ),
        heartbeat,
        driver.now
    )

    // Guards against a limit that a heartbeat lifts which doesn't count for want of workers (TWICE).
    @Test
    fun `extends no limited lease past what a successor assumes that has fenced this owner`() {
        val succession = driver.scheduler.succession
        driver.scheduler
            .onWorkersListed(listOf("gone", "w1", "w2").map(driver::listing), driver.now)
        inherit("gone", "w1", "w2")
        succession.onHostsRegistered(HostProcess("h1"), hosts, driver.now)
        val step = driver.taskStep().copy(isLongRunning = true)
        driver.submit(driver.workflow("job", step), isRecovered = true)
        var formedMillis = 0L
        repeat(16) {
            driver.step()
            if (driver.records.any { it.isHeartbeat }) formedMillis = driver.now
            driver.polls.forEach {
                if (it.worker.id == "gone") {
                    driver.answer(it, WorkerAnswer.Unknown("timeout"))
                } else {
                    driver.report(it)
                }
            }
        }
        driver.areRecordsDurableAtOnce = false
        driver.isSoleOwner = false
        // The owner is suspended and its clock does not count that; then it reaches only the worker.
        val suspendedMillis = 4_000L
        val row = RunningRow(TaskName("job", 0, 0, 0), 2_001, "", percent = 100, null)
        val ends = ArrayList<Long>()
        while (driver.now < formedMillis + 7_500) {
            driver.step()
            driver.actions.filterIsInstance<SchedulerAction.Announce>().forEach { announced ->
                hosts.forEach {
                    succession.onHeartbeatAcknowledged(it, announced.number, true, driver.now)
                }
            }
            for (poll in driver.polls) {
                if (poll.worker.id != "gone") {
                    driver.answer(poll, WorkerAnswer.Unknown("timeout"))
                    continue
                }
                poll.leaseEndMillis?.let(ends::add)
                val clock = driver.now + suspendedMillis
                val report = WorkerReport(clock, 1, driver.now, listOf(row), emptyList())
                driver.answer(poll, WorkerAnswer.Reported(report))
            }
        }
        // The key of the owner lasts for 2 s; the new host's polls are answered 0.3 s after that.
        val fencedMillis = formedMillis + 2_300
        expectThat(ends.maxOrNull() ?: 0)
            .isLessThanOrEqualTo(settings.lapsedAfterHeartbeat(fencedMillis))
    }
}
