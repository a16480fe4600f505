package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull

/** Tests of a host that is no standby and asks the standbys about a limited lease. */
class InheritedLeasesTest {
    private val driver = SchedulerDriver(epoch = 4)
    private val settings = SchedulerSettings()
    private val worker = driver.ref("gone")
    private val heartbeat = RecordVersion(3, 7)
    private val claimedMillis = driver.now
    private val limitMillis = claimedMillis + LEFT_MILLIS

    /** Inherits [worker] and [others], of which the last owner needed a [quorum] if [needsWorkers]. */
    private fun inherit(
        owner: String = "h1",
        others: List<String> = emptyList(),
        needsWorkers: Boolean = true,
        quorum: Int? = null
    ) {
        val roster = RosterRecord(
            listOf(worker) + others.map(driver::ref),
            epoch = 3,
            leasesLeft = mapOf(worker.id to LEFT_MILLIS),
            standbys = setOf(HostProcess("h1/a"), HostProcess("h2/a")),
            lastAnnounced = 4,
            host = owner,
            needsWorkers = needsWorkers,
            quorum = quorum
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

    /** Lets a standby answer that it saw [heartbeat] [millisAgo]; returns when that was at the latest. */
    private fun answerHeartbeat(millisAgo: Long): Long {
        val seen = HeartbeatSighting(heartbeat, millisAgo)
        answer("h2/a", StandbyReport(60_000, liftedLimits = null, lastHeartbeat = seen))
        return driver.now - millisAgo + 2 * SchedulerSettings.maxClockError(millisAgo)
    }

    // Guards against a restarted host that counts a heartbeat from its own start (LOST, issue 52).
    @Test
    fun `counts from when a standby saw the last durable heartbeat`() {
        inherit()
        driver.step(2_000)
        val seenMillis = answerHeartbeat(millisAgo = 3_000)
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(seenMillis))
    }

    // Guards against the age of a heartbeat that was not the last one (TWICE).
    @Test
    fun `counts nothing from when a standby saw an earlier heartbeat`() {
        inherit()
        val earlier = HeartbeatSighting(heartbeat.copy(batch = 6), millisAgo = 3_000)
        answer("h2/a", StandbyReport(60_000, liftedLimits = null, lastHeartbeat = earlier))
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(claimedMillis))
    }

    @Test
    fun `takes a later answer that tells more`() {
        inherit()
        driver.step(1_000)
        answer("h1/a", StandbyReport(1_000, liftedLimits = null))
        val acknowledgedMillis =
            driver.now - 1_000 + 2 * SchedulerSettings.maxClockError(1_000)
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(acknowledgedMillis))
        val seenMillis = answerHeartbeat(millisAgo = 5_000)
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(seenMillis))
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

    /** Lets the [workers] answer a poll at [atMillis] after the claim, and no other. */
    private fun answerPolls(atMillis: Long, vararg workers: String) {
        driver.step(claimedMillis + atMillis - driver.now)
        driver.polls.filter { it.worker.id in workers }.forEach { driver.report(it) }
        driver.step()
    }

    // Guards against a wait of 39 s if no standby and no host of the last owner is left (LOST, issue 52).
    @Test
    fun `counts from the answers of a majority of the workers if no host answers`() {
        inherit(others = listOf("w1", "w2"))
        answerPolls(atMillis = 400, "w1", "w2")
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(driver.now))
    }

    // Guards against a wait of 39 s where the last owner can't have a majority (LOST, issue 52).
    @Test
    fun `counts from the answers of half of the workers, without which there is no majority`() {
        inherit(others = listOf("w1"))
        answerPolls(atMillis = 400, "w1")
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(driver.now))
    }

    // Guards against an owner that goes on with a majority, unknown to its successor (TWICE).
    @Test
    fun `does not count from the answers of fewer than half of the workers`() {
        inherit(others = listOf("w1", "w2", "w3", "w4"))
        val before = lapsedByMillis
        answerPolls(atMillis = 400, "w1", "w2")
        expectThat(lapsedByMillis).isEqualTo(before)
    }

    // Guards against a wait of 39 s if fewer than half of the workers are left (LOST, issue 55).
    @Test
    fun `counts from the answers of fewer than half if the others are no quorum`() {
        inherit(others = listOf("w1", "w2", "w3", "w4"), quorum = 4)
        val before = lapsedByMillis
        answerPolls(atMillis = 400, "w1")
        expectThat(lapsedByMillis).isEqualTo(before)
        answerPolls(atMillis = 600, "w2")
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(driver.now))
    }

    // Guards against a wait of 39 s for a worker that is listed at another address (LOST, issue 52).
    @Test
    fun `counts from the answers of a majority also for a worker that has moved`() {
        val moved = driver.listing(worker.id).copy(ref = worker.copy(address = "10.0.9.9:1"))
        driver.scheduler.onWorkersListed(listOf(moved), driver.now)
        inherit(others = listOf("w1", "w2"))
        answerPolls(atMillis = 400, "w1", "w2")
        expectThat(driver.scheduler.succession.leaseEnds().getValue(moved.ref))
            .isEqualTo(settings.lapsedAfterHeartbeat(driver.now))
    }

    // Guards against an owner of an earlier version, which goes on without any worker (TWICE).
    @Test
    fun `does not count from answers of workers that the last owner did not need`() {
        inherit(others = listOf("w1", "w2"), needsWorkers = false)
        val before = lapsedByMillis
        answerPolls(atMillis = 400, "w1", "w2")
        expectThat(lapsedByMillis).isEqualTo(before)
    }

    // Guards against a roster that passes the wait of 39 s on to the next owner (LOST, issue 52).
    @Test
    fun `records the first roster once the last owner is fenced`() {
        inherit(others = listOf("w1", "w2"))
        while (driver.now < claimedMillis + 700) {
            expectThat(driver.step().filterIsInstance<SchedulerAction.Record>()).isEmpty()
        }
        driver.polls.filter { it.worker != worker }.forEach { driver.report(it) }
        driver.step()
        val fencedMillis = driver.now
        driver.step()
        expectThat(driver.records.single().leasesLeft.fixed).isEqualTo(
            mapOf(worker.id to settings.lapsedAfterHeartbeat(fencedMillis) - driver.now)
        )
    }

    @Test
    fun `records the first roster after a second if too few workers answer`() {
        inherit(others = listOf("w1", "w2"))
        val firstStepMillis = driver.now
        do driver.step() while (driver.records.isEmpty())
        expectThat(driver.now - firstStepMillis).isEqualTo(1_000)
        expectThat(driver.records.single().leasesLeft.fixed.keys)
            .isEqualTo(setOf(worker.id, "w1", "w2"))
    }

    /**
     * Inherits [worker] by the roster of an owner that had [unreached] workers, and didn't know of the
     * owner of epoch 2; it is known how long that roster's owner went on.
     */
    private fun inheritTwice(unreached: Set<String>) {
        val earlier = RosterRecord(
            listOf(worker),
            epoch = 2,
            standbys = setOf(HostProcess("h4/a")),
            host = "h1",
            needsWorkers = true
        )
        val roster = RosterRecord(
            listOf(worker),
            epoch = 3,
            leasesLeft = mapOf(worker.id to LONG_MILLIS),
            standbys = setOf(HostProcess("h3/a")),
            host = "h2",
            unknown = UnknownOwner(earlier, unreached)
        )
        val sightings = StoreSightings(
            claimedMillis,
            claims = mapOf(3L to claimedMillis, 4L to claimedMillis),
            process = HostProcess("h3/a")
        )
        driver.scheduler.succession.addRoster(roster, sightings, heartbeat, driver.now)
        driver.step()
    }

    private fun answerOfEarlier() = driver.scheduler.succession.onStandbyAnswered(
        HostProcess("h4/a"),
        2,
        StandbyReport(0, liftedLimits = emptyMap()),
        driver.now
    )

    // Guards against a wait of 37 s that a series of owners passes on, none of which asks those who
    // know how long the first one went on (LOST, issue 61).
    @Test
    fun `asks the standbys of an owner that the last one knew nothing of`() {
        inheritTwice(unreached = setOf(worker.id))
        val asked = driver.actions.filterIsInstance<SchedulerAction.AskStandbys>().single()
        expectThat(asked.lastEpoch).isEqualTo(2L)
        expectThat(asked.standbys).isEqualTo(setOf(HostProcess("h4/a")))
        expectThat(lapsedByMillis).isEqualTo(claimedMillis + LONG_MILLIS)
        answerOfEarlier()
        expectThat(lapsedByMillis).isEqualTo(settings.lapsedAfterHeartbeat(driver.now))
    }

    // Guards against a lease that the last owner has granted (TWICE).
    @Test
    fun `counts by the last owner for workers that have answered it`() {
        inheritTwice(unreached = emptySet())
        answerOfEarlier()
        expectThat(lapsedByMillis).isEqualTo(claimedMillis + LONG_MILLIS)
    }

    // Guards against an owner that leaves no word of whom the next one may ask (LOST, issue 61).
    @Test
    fun `records which owner it does not know, until it does`() {
        inherit(others = listOf("w1"), quorum = 1)
        do driver.step() while (driver.records.isEmpty())
        val unknown = driver.records.single().unknown
        expectThat(unknown?.roster?.epoch).isEqualTo(3L)
        expectThat(unknown?.unreached).isEqualTo(setOf(worker.id, "w1"))
        answer("h2/a", StandbyReport(0, emptyMap()))
        do driver.step() while (driver.records.none { it.roster != null })
        expectThat(driver.records.single().unknown).isNull()
    }

    // Guards against a lease that an owner has granted and the next one takes for an earlier one's
    // (TWICE).
    @Test
    fun `records no worker as unreached that has answered`() {
        inherit(others = listOf("w1", "w2", "w3", "w4"), quorum = 1)
        answerPolls(atMillis = 400, "w1")
        do driver.step() while (driver.records.isEmpty())
        expectThat(driver.records.single().unknown?.unreached)
            .isEqualTo(setOf(worker.id, "w2", "w3", "w4"))
    }

    /** Returns the epochs that are recorded of a series of four owners with [workers] each. */
    private fun recordedEpochs(workers: Int): List<Long> {
        val refs = (1..workers).map { driver.ref("w$it") }
        val first = RosterRecord(refs, epoch = 1)
        val last = (2L..4).fold(first) { earlier, epoch ->
            RosterRecord(refs, epoch, unknown = UnknownOwner(earlier, setOf("w1")))
        }
        val limited = UnknownOwner(last, setOf("w1")).limitedTo()
        return generateSequence(limited?.roster) { it.unknown?.roster }.map { it.epoch }.toList()
    }

    // Guards against rosters that grow with each owner of a series, until the store refuses them.
    @Test
    fun `records few unknown owners, and few workers of those`() {
        expectThat(recordedEpochs(workers = 1)).isEqualTo(listOf(4L, 3L))
        expectThat(recordedEpochs(workers = 1_500)).isEqualTo(listOf(4L))
        expectThat(recordedEpochs(workers = 3_000)).isEmpty()
    }

    private fun handedOverRoster(): List<WorkerRef>? =
        driver.scheduler.handoverBatch(driver.now, driver.now).roster

    // Guards against a wait of 39 s that an owner passes on which ended before any host answered it
    // (LOST, issue 61).
    @Test
    fun `hands over no roster before it knows how long the last owner went on`() {
        inherit()
        expectThat(handedOverRoster()).isNull()
        answer("h2/a", StandbyReport(0, liftedLimits = emptyMap()))
        expectThat(handedOverRoster()).isEqualTo(listOf(worker))
    }

    // Guards against a successor that counts by the roster of an owner before the one that granted
    // leases (TWICE).
    @Test
    fun `hands over a roster if the store may hold an earlier one of its own`() {
        driver.areRecordsDurableAtOnce = false
        inherit()
        do driver.step() while (driver.records.isEmpty())
        expectThat(handedOverRoster()).isEqualTo(listOf(worker))
    }

    @Test
    fun `logs that the last owner is fenced`() {
        inherit(others = listOf("w1", "w2"))
        driver.polls.filter { it.worker != worker }.forEach { driver.report(it) }
        val event = driver.step().filterIsInstance<SchedulerAction.Log>().map { it.event }
            .single { it.name == "last-owner-fenced" }
        expectThat(event.fields) {
            get { get("lastEpoch") }.isEqualTo(3L)
            get { get("workers") }.isEqualTo(2)
            get { get("ofWorkers") }.isEqualTo(3)
            get { get("leaseLeftMillis") }.isEqualTo(lapsedByMillis - driver.now)
        }
    }

    private companion object {
        const val LEFT_MILLIS = 500L
        const val LONG_MILLIS = 30_000L
    }
}
