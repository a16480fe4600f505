package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RosterRecordTest {
    private val settings = SchedulerSettings()
    private val worker = WorkerRef("w1", "10.0.0.1:w1")
    private val roster = RosterRecord(listOf(worker), epoch = 3, batch = 1)
    private val heartbeat = RecordVersion(3, 7)
    private val sightings = StoreSightings(10_000, heartbeats = mapOf(heartbeat to 8_000))

    private fun RosterRecord.lapsedBy(seen: StoreSightings, last: RecordVersion?) =
        lapsedByMillis(worker, seen, settings, last)

    @Test
    fun `counts from the time at which the last heartbeat was seen`() {
        expectThat(roster.lapsedBy(sightings, heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
    }

    @Test
    fun `counts from the claim for a heartbeat that this host has not seen`() {
        expectThat(roster.lapsedBy(sightings, RecordVersion(3, 8)))
            .isEqualTo(settings.lapsedAfterHeartbeat(10_000))
    }

    // Guards against a heartbeat that tells nothing of a later owner, which wrote none.
    @Test
    fun `assumes that an owner goes on past its lease whose last heartbeat is of an earlier one`() {
        val longest = settings.lapsedBy(10_000 + SchedulerSettings.PAST_LEASE_MILLIS)
        val earlier = RecordVersion(2, 7)
        val seen = StoreSightings(10_000, heartbeats = mapOf(earlier to 8_000))
        expectThat(roster.lapsedBy(seen, earlier)).isEqualTo(longest)
        expectThat(roster.lapsedBy(seen, null)).isEqualTo(longest)
    }

    // Guards against a wait that counts from the claim of a host whose own process was the owner.
    @Test
    fun `counts from the end of an owner that was on this host`() {
        val seen = StoreSightings(10_000, ends = mapOf(3L to 9_000))
        expectThat(roster.lapsedBy(seen, heartbeat)).isEqualTo(settings.lapsedBy(9_000))
        val other = StoreSightings(10_000, ends = mapOf(4L to 9_000))
        expectThat(roster.lapsedBy(other, heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(10_000))
    }
}
