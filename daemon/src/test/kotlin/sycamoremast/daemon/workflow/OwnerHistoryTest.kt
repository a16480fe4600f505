package sycamoremast.daemon.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.HeartbeatSighting
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.RecordVersion
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StandbyReport
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.OwnerHeartbeat

class OwnerHistoryTest {
    private var now = 1_000L
    private val history = OwnerHistory(0, MonotonicClock { now }, EventLog { })

    private fun listClaim(epoch: Long) = history.record(
        WorkflowKeys.owner(0, OwnerDetail.LAST_CLAIM),
        encodeRecord(OwnerRecord("other", epoch))
    )

    private fun listHeartbeat(epoch: Long, batch: Long = 1) = history.record(
        WorkflowKeys.owner(0, OwnerDetail.HEARTBEAT),
        encodeRecord(RecordVersion(epoch, batch))
    )

    private fun listOwner(epoch: Long) {
        listClaim(epoch)
        listHeartbeat(epoch)
    }

    private fun acknowledge(epoch: Long, number: Long = 1, vararg liftedLimits: String): Boolean =
        history.acknowledge(OwnerHeartbeat(epoch, number, setOf(*liftedLimits)))

    /** Returns what this host has seen when it claims [epoch]. */
    private fun claim(epoch: Long) = history.sightings(
        epoch,
        claimedMillis = now,
        ends = emptyMap(),
        process = HostProcess("host/a")
    )

    @Test
    fun `acknowledges heartbeats of the last owner`() {
        listOwner(3)
        expectThat(acknowledge(3)).isTrue()
        expectThat(acknowledge(3)).isTrue()
    }

    @Test
    fun `acknowledges nothing before a listing`() {
        (0L..2L).forEach { expectThat(acknowledge(it)).isFalse() }
    }

    @Test
    fun `acknowledges nothing of an owner that has no durable heartbeat`() {
        listOwner(2)
        listClaim(3)
        expectThat(acknowledge(3)).isFalse()
    }

    @Test
    fun `acknowledges nothing of an earlier owner`() {
        listOwner(3)
        listOwner(4)
        expectThat(acknowledge(3)).isFalse()
        expectThat(acknowledge(4)).isTrue()
    }

    // Guards against an acknowledgement between a claim and the first heartbeat after it.
    @Test
    fun `acknowledges nothing of an owner after another host's claim`() {
        listOwner(3)
        history.recordClaim(4)
        expectThat(acknowledge(3)).isFalse()
    }

    @Test
    fun `acknowledges nothing of an owner that it does not know`() {
        listOwner(3)
        expectThat(acknowledge(4)).isFalse()
    }

    // Guards against a listing that is older than the claims that were seen.
    @Test
    fun `acknowledges nothing of an earlier owner that is listed late`() {
        listOwner(4)
        listOwner(3)
        history.recordClaim(3)
        expectThat(acknowledge(3)).isFalse()
        expectThat(acknowledge(4)).isTrue()
    }

    @Test
    fun `acknowledges nothing of an earlier owner after its own claim`() {
        listOwner(3)
        claim(4)
        expectThat(acknowledge(3)).isFalse()
    }

    // This host may succeed itself.
    @Test
    fun `acknowledges its own heartbeats once it has seen a durable one`() {
        listOwner(3)
        claim(4)
        expectThat(acknowledge(4)).isFalse()
        listHeartbeat(4)
        expectThat(acknowledge(4)).isTrue()
    }

    @Test
    fun `acknowledges nothing later than 30 s after the last durable heartbeat`() {
        listOwner(3)
        now += SchedulerSettings.LONGEST_ANNOUNCED_MILLIS
        expectThat(acknowledge(3)).isTrue()
        now++
        expectThat(acknowledge(3)).isFalse()
        listHeartbeat(3, batch = 2)
        expectThat(acknowledge(3)).isTrue()
    }

    @Test
    fun `counts from the time at which it first saw the last durable heartbeat`() {
        listOwner(3)
        now += SchedulerSettings.LONGEST_ANNOUNCED_MILLIS
        listOwner(3)
        expectThat(acknowledge(3)).isTrue()
        now++
        expectThat(acknowledge(3)).isFalse()
    }

    @Test
    fun `tells a claim when it last acknowledged a heartbeat`() {
        listOwner(3)
        now = 2_000
        acknowledge(3)
        now = 3_000
        acknowledge(3)
        now = 4_000
        val seen = claim(4)
        expectThat(seen.acknowledgedMillisOrNull(3)).isEqualTo(3_000)
        expectThat(seen.acknowledgedMillisOrNull(4)).isNull()
        expectThat(seen.process).isEqualTo(HostProcess("host/a"))
    }

    @Test
    fun `tells a claim nothing of heartbeats that it did not acknowledge`() {
        listOwner(3)
        now = 2_000
        acknowledge(3)
        now += SchedulerSettings.LONGEST_ANNOUNCED_MILLIS
        acknowledge(3)
        acknowledge(2)
        expectThat(claim(4).acknowledged).isEqualTo(mapOf(3L to 2_000L))
    }

    // Guards against a successor that relies on a limit which its predecessor had lifted (TWICE).
    @Test
    fun `tells a claim and a successor which limits heartbeats have lifted`() {
        listOwner(3)
        acknowledge(3, number = 1)
        acknowledge(3, number = 2, "w1")
        acknowledge(3, number = 4, "w1", "w2")
        acknowledge(3, number = 3, "w1")
        acknowledge(3, number = 5)
        val lifted = mapOf("w1" to 4L, "w2" to 4L)
        now = 3_000
        val seen = HeartbeatSighting(RecordVersion(3, 1), 2_000)
        expectThat(history.report(epoch = 4, lastEpoch = 3))
            .isEqualTo(StandbyReport(2_000, lifted, lastHeartbeat = seen))
        expectThat(claim(4).liftedLimits).isEqualTo(mapOf(3L to lifted))
        expectThat(history.report(epoch = 5, lastEpoch = 4).liftedLimits).isEqualTo(emptyMap())
    }

    // Guards against a successor that counts an old heartbeat from its own start (LOST, issue 52).
    @Test
    fun `tells a successor when it first saw the last heartbeat of its predecessor`() {
        listOwner(3)
        now = 2_000
        listHeartbeat(3, batch = 5)
        now = 3_000
        listHeartbeat(3, batch = 5)
        listHeartbeat(2, batch = 9)
        now = 4_000
        expectThat(history.report(epoch = 5, lastEpoch = 3).lastHeartbeat)
            .isEqualTo(HeartbeatSighting(RecordVersion(3, 5), millisAgo = 2_000))
        expectThat(history.report(epoch = 5, lastEpoch = 4).lastHeartbeat).isNull()
    }

    @Test
    fun `records no limits of heartbeats that it does not acknowledge`() {
        listOwner(3)
        acknowledge(2, number = 1, "w1")
        history.report(epoch = 4, lastEpoch = 3)
        expectThat(acknowledge(3, number = 2, "w1")).isFalse()
        expectThat(claim(5).liftedLimits).isEqualTo(emptyMap())
    }
}
