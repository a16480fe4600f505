package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

class WorkerLeaseTest {
    private val settings = SchedulerSettings()
    private val lease = WorkerLease()

    private fun endOrNull(nowMillis: Long, latestMillis: Long) =
        lease.endOrNull(nowMillis, horizon(latestMillis), isDraining = false, settings)

    private fun horizon(latestMillis: Long) =
        LeaseHorizon(latestMillis, latestMillis + SchedulerSettings.LONGEST_ANNOUNCED_MILLIS)

    @Test
    fun `ends a lease by the time that the last heartbeat allows`() {
        lease.recordClock(clockMillis = 500, receivedMillis = 1_000)
        lease.onHeartbeatFormed(1_000)
        lease.onHeartbeatKnown(1_000, isDurable = true)
        expectThat(endOrNull(1_000, latestMillis = 20_000)).isEqualTo(500 + settings.leaseMillis)
        expectThat(endOrNull(1_000, latestMillis = 4_000)).isEqualTo(3_500)
        expectThat(endOrNull(1_000, latestMillis = 1_000)).isNull()
    }

    // Guards against leases that outlast what a successor assumes of an owner that was suspended.
    @Test
    fun `grants a suspended owner no longer leases than the heartbeat before allows`() {
        lease.recordClock(clockMillis = 1_000, receivedMillis = 1_000)
        lease.onHeartbeatFormed(1_000)
        lease.onHeartbeatKnown(1_000, isDurable = true)
        val latest = 1_000 + settings.leaseHorizonMillis
        val suspendedMillis = 3_000
        lease.recordClock(clockMillis = 2_000L + suspendedMillis, receivedMillis = 2_000)
        expectThat(endOrNull(2_000, latest)).isEqualTo(latest)
        expectThat(endOrNull(latest - suspendedMillis, latest)).isNull()
    }

    @Test
    fun `grants full leases again from the next heartbeat on`() {
        lease.recordClock(clockMillis = 1_000, receivedMillis = 1_000)
        lease.onHeartbeatFormed(1_000)
        lease.onHeartbeatKnown(1_000, isDurable = true)
        lease.recordClock(clockMillis = 5_000, receivedMillis = 2_000)
        lease.onHeartbeatFormed(2_000)
        lease.onHeartbeatKnown(2_000, isDurable = true)
        val latest = 2_000 + settings.leaseHorizonMillis
        expectThat(endOrNull(2_000, latest)).isEqualTo(5_000 + settings.leaseMillis)
    }

    @Test
    fun `counts from the heartbeat that is known, whichever was formed after it`() {
        lease.recordClock(clockMillis = 1_000, receivedMillis = 1_000)
        lease.onHeartbeatFormed(1_000)
        lease.recordClock(clockMillis = 5_000, receivedMillis = 2_000)
        lease.onHeartbeatFormed(2_000)
        lease.onHeartbeatKnown(1_000, isDurable = true)
        val latest = 1_000 + settings.leaseHorizonMillis
        expectThat(lease.longestMillis(2_000, horizon(latest))).isEqualTo(latest - 5_000)
    }

    // Guards against the clock of an earlier incarnation, by which a heartbeat was formed.
    @Test
    fun `does not use the clock of an earlier incarnation for a heartbeat`() {
        lease.recordClock(clockMillis = 900_000, receivedMillis = 1_000)
        lease.onHeartbeatFormed(1_000)
        lease.forgetClock()
        lease.recordClock(clockMillis = 100, receivedMillis = 1_100)
        lease.onHeartbeatKnown(1_000, isDurable = true)
        expectThat(endOrNull(1_100, latestMillis = 2_100)).isNull()
        lease.onHeartbeatFormed(1_200)
        lease.onHeartbeatKnown(1_200, isDurable = true)
        expectThat(endOrNull(1_200, latestMillis = 2_100)).isEqualTo(1_100)
    }

    // Guards against an owner that was suspended, and announces heartbeats for longer than allowed.
    @Test
    fun `counts the time for which heartbeats may be announced on the clock of the worker`() {
        lease.recordClock(clockMillis = 1_000, receivedMillis = 1_000)
        lease.onHeartbeatFormed(1_000)
        lease.onHeartbeatKnown(1_000, isDurable = true)
        val suspendedMillis = 40_000L
        lease.recordClock(clockMillis = 5_000 + suspendedMillis, receivedMillis = 5_000)
        lease.onHeartbeatFormed(5_000)
        lease.onHeartbeatKnown(5_000, isDurable = false)
        val horizon = LeaseHorizon.NONE.after(1_000, isDurable = true, settings)
            .after(5_000, isDurable = false, settings)
        expectThat(lease.endOrNull(5_000, horizon, isDraining = false, settings)).isNull()
    }

    // Guards against an offset that was read long before the heartbeat, of an idle worker (TWICE).
    @Test
    fun `grants a worker that was idle for long no longer lease than the heartbeat allows`() {
        val heartbeatMillis = 300_000L
        lease.recordClock(clockMillis = 0, receivedMillis = 0)
        lease.onHeartbeatFormed(heartbeatMillis)
        lease.onHeartbeatKnown(heartbeatMillis, isDurable = true)
        val horizon = LeaseHorizon.NONE.after(heartbeatMillis, isDurable = true, settings)

        // A task starts; from then on polls read the clock, which lags by 2%.
        fun clock(millis: Long) = millis - millis / 50
        val pollMillis = heartbeatMillis + 5_000
        lease.recordClock(clock(pollMillis), pollMillis)
        val end = lease.endOrNull(pollMillis, horizon, isDraining = false, settings) ?: 0
        expectThat(end).isLessThanOrEqualTo(clock(settings.lapsedAfterHeartbeat(heartbeatMillis)))
    }

    // Guards against the first offset of an incarnation, which is later than the heartbeat (TWICE).
    @Test
    fun `grants a worker that restarts no longer lease than the heartbeat before a suspension`() {
        lease.recordClock(clockMillis = 1_000, receivedMillis = 1_000)
        lease.onHeartbeatFormed(1_000)
        lease.onHeartbeatKnown(1_000, isDurable = true)
        val horizon = LeaseHorizon.NONE.after(1_000, isDurable = true, settings)
        // 4 s pass that the owner's clock doesn't count; the worker restarts 1 s before it answers.
        lease.forgetClock()
        lease.recordClock(clockMillis = 1_000, receivedMillis = 2_000)
        val trueMillisSinceHeartbeat = 1_000 + 4_000
        val left = settings.leaseHorizonMillis - trueMillisSinceHeartbeat
        val end = lease.endOrNull(2_000, horizon, isDraining = false, settings) ?: 0
        expectThat(end).isLessThanOrEqualTo(1_000 + left)
    }
}
