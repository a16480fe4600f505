package sycamoremast.coordination.workflow

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

/**
 * Tests of leases that a worker may hold by stray orders, which reached another incarnation than the
 * one that they were meant for, where workers accept longer leases than owners grant.
 */
class StrayLeaseTest {
    private val settings = SchedulerSettings.within(LONGEST_LEASE_MILLIS, stopMillis = 200)
    private val driver = SchedulerDriver(settings = settings)
    private val longestMillis = settings.strayLapsedBy(0)

    /** Answers the polls of all workers for a while. */
    private fun settle(driver: SchedulerDriver, started: Long = 1) = repeat(SETTLE_STEPS) {
        driver.step()
        driver.polls.forEach { driver.report(it, started = started) }
    }

    /** Answers polls as a restarted worker until a roster is recorded, which isn't durable yet. */
    private fun settleUntilRoster(): RecordBatch {
        repeat(SETTLE_STEPS) {
            driver.step()
            expectThat(driver.starts).isEmpty()
            val batch = driver.records.singleOrNull()
            if (batch?.roster != null) return batch
            if (batch != null) driver.scheduler.onBatchDurable()
            driver.polls.forEach { driver.report(it, started = 2) }
        }
        error("no roster is recorded")
    }

    private fun leaseEnd(driver: SchedulerDriver) =
        driver.scheduler.succession.leaseEnds().getValue(driver.ref("w1"))

    private fun inherit(roster: RosterRecord, claimedMillis: Long): SchedulerDriver {
        val next = SchedulerDriver(epoch = 2, settings = settings)
        val sightings = StoreSightings(
            claimedMillis,
            rosters = mapOf(roster.version to claimedMillis),
            heartbeats = mapOf(HEARTBEAT to claimedMillis)
        )
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.scheduler.succession.addRoster(roster, sightings, HEARTBEAT, next.now)
        return next
    }

    // Guards against a successor that waits too short a time for a restarted worker (TWICE).
    @Test
    fun `starts nothing on a restarted worker before the roster tells of its stray leases`() {
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        settle(driver)
        driver.areRecordsDurableAtOnce = false
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it, started = 2) }
        val roster = settleUntilRoster()
        settle(driver, started = 2)
        expectThat(driver.records).isEmpty()
        expectThat(roster.leasesLeft.stray["w1"]).isNotNull()
            .isGreaterThanOrEqualTo(longestMillis - SETTLE_STEPS * STEP_MILLIS)
        expectThat(roster.incarnations["w1"]).isEqualTo(2)
        driver.areRecordsDurableAtOnce = true
        driver.scheduler.onBatchDurable()
        repeat(SETTLE_STEPS) {
            driver.step()
            driver.starts.singleOrNull()?.let { return }
            driver.polls.forEach { driver.report(it, started = 2) }
        }
        error("nothing starts")
    }

    // Guards against a roster that was formed before the restart and became durable after it (TWICE).
    @Test
    fun `takes no roster that was formed before a restart for one that tells of it`() {
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        settle(driver)
        driver.areRecordsDurableAtOnce = false
        driver.scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        driver.step()
        expectThat(driver.records.single().roster).isNotNull()
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it, started = if (it.worker.id == "w1") 2 else 1) }
        driver.step()
        driver.polls.filter { it.worker.id == "w1" }.forEach { driver.report(it, started = 2) }
        driver.scheduler.onBatchDurable()
        repeat(SETTLE_STEPS) {
            driver.step()
            expectThat(driver.starts.filter { it.worker.id == "w1" }).isEmpty()
            driver.polls.forEach { driver.report(it, started = if (it.worker.id == "w1") 2 else 1) }
        }
    }

    // Guards against an owner that takes a restarted worker's lease for lapsed too soon (TWICE).
    @Test
    fun `counts on the longest lease from the introduction of an incarnation`() {
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        settle(driver)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it, started = 2) }
        driver.step()
        driver.polls.forEach { driver.report(it, started = 2) }
        expectThat(leaseEnd(driver)).isGreaterThanOrEqualTo(driver.now + longestMillis)
    }

    // Guards against a successor that waits too short a time for a restarted worker (TWICE).
    @Test
    fun `a successor waits for the stray leases in the roster`() {
        val roster = RosterRecord(
            listOf(driver.ref("w1")),
            epoch = 1,
            batch = HEARTBEAT.batch,
            strayLeasesLeft = mapOf("w1" to longestMillis),
            incarnations = mapOf("w1" to 2L)
        )
        val next = inherit(roster, driver.now)
        expectThat(leaseEnd(next)).isEqualTo(driver.now + longestMillis)
        settle(next, started = 2)
        expectThat(leaseEnd(next)).isGreaterThanOrEqualTo(driver.now + longestMillis)
        val handover = next.scheduler.handoverBatch(next.now, next.now)
        expectThat(handover.incarnations["w1"]).isEqualTo(2)
    }

    // Guards against a planned successor that waits too short a time for a restarted worker (TWICE).
    @Test
    fun `a successor after a planned handover waits for stray leases`() {
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        settle(driver)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it, started = 2) }
        driver.step()
        driver.polls.forEach { driver.report(it, started = 2) }
        val introducedMillis = driver.now
        driver.step()
        val handover = driver.scheduler.handoverBatch(driver.now, driver.now)
        val next = inherit(checkNotNull(handover.rosterRecordOrNull(HEARTBEAT, "")), driver.now)
        next.step()
        next.polls.forEach { next.report(it, started = 2) }
        expectThat(leaseEnd(next)).isGreaterThanOrEqualTo(introducedMillis + longestMillis)
    }

    // Guards against a restarted worker that gets no starts until the roster changes for another reason.
    @Test
    fun `records a roster for an incarnation that was in doubt when the last one was formed`() {
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        settle(driver)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it, started = 2) }
        driver.step()
        val introduction = driver.polls.single().also { driver.report(it, started = 2) }
        val failed = introduction.copy(sentMillis = driver.now - 1)
        driver.answer(failed, WorkerAnswer.Unknown("timeout"))
        repeat(2 * SETTLE_STEPS) {
            driver.step()
            if (driver.starts.isNotEmpty()) return
            driver.polls.forEach { driver.report(it, started = 2) }
        }
        error("nothing starts")
    }

    /** Lists w1 and lets [millis] pass after a start was sent there. */
    private fun leaveStartUnanswered(millis: Long): StartOrder {
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        settle(driver)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it) }
        driver.step()
        return driver.starts.single().also { driver.step(millis) }
    }

    // Guards against an owner that takes a lease for lapsed which a start granted after a restart (TWICE).
    @Test
    fun `counts on the longest lease after a start without an answer until the worker reports`() {
        val start = leaveStartUnanswered(TIMEOUT_MILLIS)
        driver.scheduler.onStartAnswer(start, WorkerAnswer.Unknown("timeout"), driver.now)
        expectThat(leaseEnd(driver)).isGreaterThanOrEqualTo(driver.now + longestMillis)
        driver.report(driver.freshPoll("w1"))
        expectThat(leaseEnd(driver)).isLessThan(driver.now + longestMillis - TIMEOUT_MILLIS)
    }

    // Guards against an owner that takes a lease for lapsed which a start granted after a restart (TWICE).
    @Test
    fun `counts on the longest lease after an answer that took as long as a restart may`() {
        val start = leaveStartUnanswered(TIMEOUT_MILLIS / 2)
        driver.confirmStart(start)
        expectThat(leaseEnd(driver)).isGreaterThanOrEqualTo(driver.now + longestMillis)
    }

    // Guards against stray orders of earlier owners to an incarnation that none of them knew (TWICE).
    @Test
    fun `a successor counts on the longest lease of an incarnation that is not in the roster`() {
        val roster = RosterRecord(
            listOf(driver.ref("w1")),
            epoch = 1,
            incarnations = mapOf("w1" to 1L)
        )
        val known = inherit(roster, driver.now)
        known.step()
        known.polls.forEach { known.report(it, started = 1) }
        expectThat(leaseEnd(known)).isLessThan(known.now + longestMillis)
        val unknown = inherit(roster, driver.now)
        unknown.step()
        unknown.polls.forEach { unknown.report(it, started = 2) }
        expectThat(leaseEnd(unknown)).isEqualTo(unknown.now + longestMillis)
    }

    // Guards against a stray lease that outlasts what a successor counts from an old heartbeat (TWICE).
    @Test
    fun `starts nothing by an old report while the last heartbeat is old`() {
        val driver = SchedulerDriver()
        driver.listWorkers("w1")
        driver.areRecordsDurableAtOnce = false
        repeat(OLD_HEARTBEAT_STEPS) { driver.step() }
        driver.submit(driver.workflow())
        driver.step()
        expectThat(driver.starts).isEmpty()
        driver.polls.forEach { driver.report(it) }
        driver.step()
        expectThat(driver.starts.single().worker.id).isEqualTo("w1")
    }

    // Guards against an owner that is lost before its roster tells of a restart (TWICE).
    @Test
    fun `a successor counts on stray leases where an entry tells of a later incarnation`() {
        val roster = RosterRecord(
            listOf(driver.ref("w1")),
            epoch = 1,
            leasesLeft = mapOf("w1" to 0L),
            incarnations = mapOf("w1" to 1L)
        )
        val next = inherit(roster, driver.now)
        expectThat(leaseEnd(next)).isEqualTo(driver.now)
        val entry = next.listing("w1").copy(startedUnixMillis = 2)
        next.scheduler.onWorkerListed(entry, next.now)
        expectThat(leaseEnd(next)).isEqualTo(next.now + longestMillis)
        next.step(SETTLE_STEPS * STEP_MILLIS)
        next.scheduler.onWorkerListed(entry.copy(revision = 1), next.now)
        expectThat(leaseEnd(next)).isLessThan(next.now + longestMillis)
    }

    @Test
    fun `writes and reads stray leases and incarnations`() {
        val record = RosterRecord(
            listOf(driver.ref("w1")),
            strayLeasesLeft = mapOf("w1" to 1L),
            incarnations = mapOf("w1" to 2L)
        )
        val text = Json.encodeToString(RosterRecord.serializer(), record)
        expectThat(Json.decodeFromString<RosterRecord>(text)).isEqualTo(record)
    }

    private companion object {
        /** The longest lease that workers accept, longer than any that an owner grants. */
        const val LONGEST_LEASE_MILLIS = 10_000L

        /** How long a start takes that gets no answer. */
        const val TIMEOUT_MILLIS = 600L

        /** The length of a driver's step. */
        const val STEP_MILLIS = 50L

        /** Longer than the interval of heartbeats and the time that a record usually takes. */
        const val OLD_HEARTBEAT_STEPS = 20

        /** Enough for an introduction, and for records to become due. */
        const val SETTLE_STEPS = 12
        val HEARTBEAT = RecordVersion(1, 7)
    }
}
