package sycamoremast.coordination.workflow

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan

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

    // Guards against a limit that counts for longer than this host knows the lease to last (LOST,
    // issue 61).
    @Test
    fun `counts by an owner before the last one for workers that this one has not reached`() {
        val earlier = RosterRecord(listOf(worker), epoch = 2)
        val unknown = UnknownOwner(earlier, setOf(worker.id))
        val limited = roster.copy(leasesLeft = mapOf(worker.id to 37_000L), unknown = unknown)
        val seen = sightings.copy(claims = mapOf(3L to 2_000))
        val earlierMillis = earlier.lapsedBy(seen, heartbeat)
        expectThat(earlierMillis).isLessThan(settings.lapsedBy(9_500))
        expectThat(limited.lapsedBy(seen, heartbeat)).isEqualTo(earlierMillis)
        val reached = limited.copy(unknown = unknown.copy(unreached = emptySet()))
        expectThat(reached.lapsedBy(seen, heartbeat)).isEqualTo(47_000)
        val short = limited.copy(leasesLeft = mapOf(worker.id to 500L))
        expectThat(short.lapsedBy(seen, heartbeat)).isEqualTo(10_500)
    }

    @Test
    fun `writes and reads what is recorded of an earlier owner`() {
        val unknown = UnknownOwner(RosterRecord(listOf(worker), epoch = 2), setOf(worker.id))
        val record = roster.copy(unknown = unknown)
        val text = Json.encodeToString(RosterRecord.serializer(), record)
        expectThat(Json.decodeFromString<RosterRecord>(text)).isEqualTo(record)
    }

    // Guards against a draining worker that is waited for from the claim of a later host (LOST, issue 52).
    @Test
    fun `counts a draining worker from the claim or the last heartbeat, whichever is sooner`() {
        val draining = roster.copy(drainingLeasesLeft = mapOf(worker.id to 5_000L))
        expectThat(draining.lapsedBy(sightings, heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
        val late = sightings.copy(heartbeats = mapOf(heartbeat to 9_500L))
        expectThat(draining.lapsedBy(late, heartbeat)).isEqualTo(15_000)
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

    private val announcing = roster.copy(standbys = setOf(HostProcess("h1/a"), HostProcess("h2/a")))

    /** What [process] has seen that has last acknowledged heartbeats at [acknowledged]. */
    private fun seenBy(process: String, vararg acknowledged: Pair<Long, Long>) =
        sightings.copy(process = HostProcess(process), acknowledged = mapOf(*acknowledged))

    @Test
    fun `counts from a standby's last acknowledgement if that is later`() {
        expectThat(announcing.lapsedBy(seenBy("h2/a", 3L to 9_500), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(9_500))
    }

    @Test
    fun `counts from the heartbeat that a standby has seen after its last acknowledgement`() {
        expectThat(announcing.lapsedBy(seenBy("h2/a", 3L to 7_000), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
    }

    @Test
    fun `counts from the last heartbeat for a standby that has acknowledged none`() {
        expectThat(announcing.lapsedBy(seenBy("h2/a"), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
    }

    @Test
    fun `ignores what a standby has acknowledged of other owners`() {
        expectThat(announcing.lapsedBy(seenBy("h2/a", 2L to 9_500, 4L to 9_800), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
    }

    // Guards against the bound that an owner without heartbeats has, which counts from a claim.
    @Test
    fun `counts from a standby's acknowledgement that is later than another host's claim`() {
        val seen = seenBy("h2/a", 3L to 30_000).copy(claims = mapOf(4L to 9_000))
        expectThat(announcing.lapsedBy(seen, heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(30_000))
    }

    @Test
    fun `waits longer on a host that is no standby`() {
        val extra = SchedulerSettings.longestAnnouncedMillis()
        expectThat(extra).isEqualTo(31_200)
        expectThat(announcing.lapsedBy(seenBy("h3/a"), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000) + extra)
        expectThat(announcing.lapsedBy(seenBy("h3/a", 3L to 9_500), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000) + extra)
    }

    // Guards against an owner of an earlier version, which needs a majority only (TWICE).
    @Test
    fun `is fenced once too few workers are left for the quorum that its owner needed`() {
        val workers = List(9) { WorkerRef("w$it", "10.0.0.$it:1") }
        val earlier = RosterRecord(workers, epoch = 3, needsWorkers = true)
        fun RosterRecord.answersThatFence() = (0..9).first { isFencedBy(workers.take(it).toSet()) }
        expectThat(earlier.answersThatFence()).isEqualTo(5)
        expectThat(earlier.copy(quorum = 6).answersThatFence()).isEqualTo(4)
        expectThat(earlier.copy(quorum = 9).answersThatFence()).isEqualTo(1)
    }

    @Test
    fun `is never fenced by workers that its owner did not need`() {
        val unneeded = RosterRecord(listOf(worker), epoch = 3, quorum = 1)
        expectThat(unneeded.isFencedBy(setOf(worker))).isFalse()
    }

    @Test
    fun `counts from the time at which the last owner was fenced on a host that is no standby`() {
        val fenced = seenBy("h3/a").copy(fenced = mapOf(3L to 12_000L))
        expectThat(announcing.lapsedBy(fenced, heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(12_000))
        val earlier = seenBy("h3/a").copy(fenced = mapOf(3L to 7_000L))
        expectThat(announcing.lapsedBy(earlier, heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
        val ofOther = seenBy("h3/a").copy(fenced = mapOf(2L to 7_000L))
        expectThat(announcing.lapsedBy(ofOther, heartbeat)).isEqualTo(
            settings.lapsedAfterHeartbeat(8_000) + SchedulerSettings.longestAnnouncedMillis()
        )
    }

    @Test
    fun `counts from the last heartbeat as before if the roster names no standbys`() {
        expectThat(roster.lapsedBy(seenBy("h2/a"), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
        expectThat(roster.lapsedBy(seenBy("h2/a"), null))
            .isEqualTo(settings.lapsedBy(10_000 + SchedulerSettings.PAST_LEASE_MILLIS))
    }

    // Guards against an owner that went on by standbys of an earlier roster (TWICE, issue 46).
    @Test
    fun `counts from its own acknowledgement also if the roster names no standbys`() {
        expectThat(roster.lapsedBy(seenBy("h2/a", 3L to 9_500), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(9_500))
    }

    @Test
    fun `takes what its own last term knew of a lease for exact`() {
        val own = sightings.copy(leaseEnds = mapOf(3L to mapOf(worker to 7_000L)))
        expectThat(roster.lapsedBy(own, heartbeat)).isEqualTo(7_000)
        val other = sightings.copy(leaseEnds = mapOf(2L to mapOf(worker to 7_000L)))
        expectThat(roster.lapsedBy(other, heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000))
    }

    @Test
    fun `counts at most from the end of an owner on this host, whatever was announced`() {
        val ends = mapOf(3L to 9_000L)
        val standby = seenBy("h2/a", 3L to 9_500).copy(ends = ends)
        expectThat(announcing.lapsedBy(standby, heartbeat)).isEqualTo(settings.lapsedBy(9_000))
        val other = seenBy("h3/a").copy(ends = ends)
        expectThat(announcing.lapsedBy(other, heartbeat)).isEqualTo(settings.lapsedBy(9_000))
    }

    /** Limits the lease of [worker] to 500 ms, by a roster formed after heartbeat 4. */
    private val limited =
        announcing.copy(leasesLeft = mapOf(worker.id to 500L), lastAnnounced = 4)

    /** What a standby has seen to which heartbeat [number] of [epoch] has named [id]. */
    private fun seenLifted(epoch: Long, id: String, number: Long) =
        seenBy("h2/a", 3L to 9_500).copy(liftedLimits = mapOf(epoch to mapOf(id to number)))

    @Test
    fun `does not wait longer on a standby for a worker whose lease is limited in the roster`() {
        expectThat(limited.lapsedBy(seenBy("h2/a"), heartbeat)).isEqualTo(10_500)
        expectThat(limited.lapsedBy(seenBy("h2/a", 3L to 9_500), heartbeat)).isEqualTo(10_500)
    }

    // Guards against an owner that went on to extend a lease which the roster limits (TWICE).
    @Test
    fun `counts from a standby's last acknowledgement if heartbeats have lifted the limit`() {
        expectThat(limited.lapsedBy(seenLifted(3, "w1", 5), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(9_500))
    }

    @Test
    fun `keeps a limit that other heartbeats have lifted`() {
        expectThat(limited.lapsedBy(seenLifted(2, "w1", 5), heartbeat)).isEqualTo(10_500)
        expectThat(limited.lapsedBy(seenLifted(3, "w2", 5), heartbeat)).isEqualTo(10_500)
    }

    @Test
    fun `keeps a limit of a roster that was formed after the heartbeats that had lifted it`() {
        expectThat(limited.lapsedBy(seenLifted(3, "w1", 4), heartbeat)).isEqualTo(10_500)
    }

    @Test
    fun `waits for the limit if that is later than leases after it was lifted`() {
        val long = limited.copy(leasesLeft = mapOf(worker.id to 50_000L))
        expectThat(long.lapsedBy(seenLifted(3, "w1", 5), heartbeat)).isEqualTo(60_000)
    }

    // Guards against a host that can't know whether a limit was lifted (TWICE).
    @Test
    fun `takes a limit for lifted on a host that is no standby`() {
        val extra = SchedulerSettings.longestAnnouncedMillis()
        expectThat(limited.lapsedBy(seenBy("h3/a"), heartbeat))
            .isEqualTo(settings.lapsedAfterHeartbeat(8_000) + extra)
        val ends = seenBy("h3/a").copy(ends = mapOf(3L to 9_000L))
        expectThat(limited.lapsedBy(ends, heartbeat))
            .isEqualTo(settings.lapsedBy(9_000, isDraining = true))
    }

    @Test
    fun `takes no limit for lifted of a lease that had lapsed or of an owner without standbys`() {
        val lapsed = limited.copy(leasesLeft = mapOf(worker.id to 0L))
        expectThat(lapsed.lapsedBy(seenBy("h3/a"), heartbeat)).isEqualTo(10_000)
        val alone = limited.copy(standbys = emptySet())
        expectThat(alone.lapsedBy(seenBy("h3/a"), heartbeat)).isEqualTo(10_500)
    }
}
