package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Tests of a host that is no standby and asks the standbys about a limited lease. */
class InheritedLeasesTest {
    private val driver = SchedulerDriver(epoch = 4)
    private val settings = SchedulerSettings()
    private val worker = driver.ref("gone")
    private val heartbeat = RecordVersion(3, 7)
    private val claimedMillis = driver.now
    private val limitMillis = claimedMillis + LEFT_MILLIS

    private fun inherit(owner: String = "h1") {
        val roster = RosterRecord(
            listOf(worker),
            epoch = 3,
            leasesLeft = mapOf(worker.id to LEFT_MILLIS),
            standbys = setOf(HostProcess("h1/a"), HostProcess("h2/a")),
            lastAnnounced = 4,
            host = owner
        )
        val sightings = StoreSightings(
            claimedMillis,
            heartbeats = mapOf(heartbeat to claimedMillis),
            process = HostProcess("h3/a")
        )
        driver.scheduler.succession.addRoster(roster, sightings, heartbeat, driver.now)
        driver.step()
    }

    private fun answer(process: String, report: StandbyReport) = driver.scheduler.succession
        .onStandbyAnswered(HostProcess(process), 3, report, driver.now)

    private val lapsedByMillis get() = driver.scheduler.succession.leaseEnds().getValue(worker)

    @Test
    fun `takes the limit for lifted until a standby answers`() {
        inherit()
        expectThat(lapsedByMillis).isEqualTo(
            settings.lapsedAfterHeartbeat(claimedMillis) +
                SchedulerSettings.longestAnnouncedMillis()
        )
        answer("h2/a", StandbyReport(0, liftedLimits = emptyMap()))
        expectThat(lapsedByMillis).isEqualTo(limitMillis)
    }

    // Guards against an owner that went on to extend a lease which the roster limits (TWICE).
    @Test
    fun `counts from the last acknowledgement of a standby that knows the limit to be lifted`() {
        inherit()
        answer("h2/a", StandbyReport(0, liftedLimits = mapOf(worker.id to 5)))
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(driver.now))
        expectThat(lapsedByMillis).isGreaterThan(limitMillis)
    }

    @Test
    fun `takes the limit for lifted if a standby does not know of limits`() {
        inherit()
        answer("h2/a", StandbyReport(0, liftedLimits = null))
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(driver.now))
    }

    @Test
    fun `counts a short lease from the end of the owner, which tells nothing of limits`() {
        inherit(owner = "h9")
        answer("h9/b", StandbyReport(0, liftedLimits = null, isOwnerEnd = true))
        expectThat(lapsedByMillis)
            .isEqualTo(settings.lapsedBy(driver.now, isDraining = true))
    }

    // Guards against the answer of a process that the owner didn't await (TWICE).
    @Test
    fun `takes no answer of another process than the named ones`() {
        inherit()
        val before = lapsedByMillis
        listOf("h2/b", "h2", "h9/b").forEach { answer(it, StandbyReport(0, emptyMap())) }
        answer("h2/b", StandbyReport(0, liftedLimits = null, isOwnerEnd = true))
        expectThat(lapsedByMillis).isEqualTo(before)
    }

    private companion object {
        const val LEFT_MILLIS = 500L
    }
}
