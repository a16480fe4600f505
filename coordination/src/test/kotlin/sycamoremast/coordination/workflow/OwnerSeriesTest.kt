package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

/**
 * Tests of a series of owners, each of which ends without notice, after a worker was lost.
 *
 * A lasting task of that worker must start again within a bound that does not grow with the number
 * of owners, although each of them knows only what the store holds and when it saw earlier claims.
 */
class OwnerSeriesTest {
    private val settings = SchedulerSettings()
    private var roster: RosterRecord? = null
    private val claims = HashMap<Long, Long>()
    private val rosters = HashMap<RecordVersion, Long>()
    private val heartbeats = HashMap<RecordVersion, Long>()
    private var lastHeartbeat: RecordVersion? = null
    private var lastBatch = 0L
    private val progress = HashMap<String, WorkflowProgress>()

    /** The runs of the lasting task that are in progress, by worker. */
    private val runs = HashMap<String, RunningRow>()

    /** The workers that the platform lists. */
    private var listed = listOf("w1")

    /** The owner of [epoch], which begins at [nowMillis] with what the store holds. */
    private fun owner(epoch: Long, nowMillis: Long): SchedulerDriver {
        val driver = successor(epoch, nowMillis)
        driver.submit(driver.workflow("job", driver.taskStep()), isRecovered = epoch > 1)
        return driver
    }

    /** Like [owner], with a workflow of one task that is to last. */
    private fun ownerOfLasting(epoch: Long, nowMillis: Long): SchedulerDriver {
        val driver = successor(epoch, nowMillis)
        val step = driver.taskStep().copy(isLongRunning = true, requiredLabel = LABEL)
        driver.submit(driver.workflow("job", step), isRecovered = epoch > 1, progress["job"])
        return driver
    }

    private fun successor(epoch: Long, nowMillis: Long): SchedulerDriver {
        claims[epoch] = nowMillis
        val driver = SchedulerDriver(epoch).apply { now = nowMillis }
        driver.list()
        val inherited = roster
        if (inherited?.recordsPlaces == true) driver.scheduler.arePlacesRecorded = true
        inherited?.workers?.forEach {
            val sightings =
                StoreSightings(nowMillis, claims.toMap(), rosters.toMap(), heartbeats.toMap())
            val lapsedBy = inherited.lapsedByMillis(it, sightings, settings, lastHeartbeat)
            driver.scheduler.addRosteredWorker(it, lapsedBy)
        }
        return driver
    }

    /** Lists the [listed] workers, of which those named "other" can't run the lasting task. */
    private fun SchedulerDriver.list() {
        val listings = listed.map {
            listing(it).copy(labels = if (it.startsWith("other")) emptyList() else listOf(LABEL))
        }
        scheduler.onWorkersListed(listings, now)
    }

    /**
     * Lets [driver] own the workers for [millis], "gone" answering none of its calls; returns the
     * time of the first start, or null if there is none.
     */
    private fun SchedulerDriver.ownFor(millis: Long, epoch: Long): Long? {
        val until = now + millis
        while (now < until) {
            step()
            records.forEach { record(it, epoch) }
            if (starts.isNotEmpty()) return now
            polls.forEach { poll ->
                when {
                    poll.worker.id == "w1" -> report(poll)

                    now - poll.sentMillis >= POLL_TIMEOUT_MILLIS ->
                        answer(poll, WorkerAnswer.Unknown("timeout"))
                }
            }
        }
        return null
    }

    /**
     * Lets the owner own the workers for [millis], of which only those in [up] answer; returns the
     * time of the last start of the lasting task, or null if there is none.
     */
    private fun SchedulerDriver.serveFor(millis: Long, epoch: Long, vararg up: String): Long? {
        var started: Long? = null
        val until = now + millis
        while (now < until) {
            step()
            records.forEach { record(it, epoch) }
            for (order in starts.filter { it.worker.id in up }) {
                runs[order.worker.id] = RunningRow(order.task, order.run, "", percent = 100, null)
                confirmStart(order)
                started = now
            }
            polls.forEach { poll ->
                when {
                    poll.worker.id in up -> report(poll, listOfNotNull(runs[poll.worker.id]))

                    now - poll.sentMillis >= POLL_TIMEOUT_MILLIS ->
                        answer(poll, WorkerAnswer.Unknown("timeout"))
                }
            }
        }
        return started
    }

    private fun SchedulerDriver.record(batch: RecordBatch, epoch: Long) {
        progress += batch.progress
        val version = RecordVersion(epoch, ++lastBatch)
        batch.roster?.let { workers ->
            val left = batch.leasesLeft
            rosters[version] = now + SIGHTING_MILLIS
            roster = RosterRecord(
                workers,
                epoch,
                left.fixed,
                left.draining,
                version.batch,
                batch.recordsPlaces
            )
        }
        if (batch.isHeartbeat) {
            heartbeats[version] = now + SIGHTING_MILLIS
            lastHeartbeat = version
        }
    }

    /**
     * Returns when the task starts after [count] owners that each go on for [millis].
     *
     * The first owner's last heartbeat was seen at [heartbeatMillis], if it wrote any; the claim of
     * its successor is at 0.
     */
    private fun startAfterOwners(
        count: Int,
        millis: Long,
        heartbeatMillis: Long? = -TAKEOVER_MILLIS
    ): Long {
        roster =
            RosterRecord(listOf(WorkerRef("gone", "address"), WorkerRef("w1", "10.0.0.1:w1")), 1)
        lastHeartbeat = heartbeatMillis?.let { RecordVersion(1, 1) }
        heartbeatMillis?.let { heartbeats[RecordVersion(1, 1)] = it }
        var now = 0L
        for (epoch in 2L until 2L + count) {
            owner(epoch, now).ownFor(millis, epoch)?.let { return it }
            now += millis + TAKEOVER_MILLIS
        }
        val last = 2L + count
        return checkNotNull(owner(last, now).ownFor(LONGEST_MILLIS, last)) {
            "the task never starts"
        }
    }

    /** When the owner claims that follows [count] owners which each go on for [millis]. */
    private fun lastClaimMillis(count: Int, millis: Long) = count * (millis + TAKEOVER_MILLIS)

    @Test
    fun `starts a lost task by a bound that does not grow with owners that last a second`() {
        val alone = startAfterOwners(0, 0)
        for (count in 1..5) {
            expectThat(startAfterOwners(count, 1_000)).describedAs("$count owners")
                .isLessThan(maxOf(alone, lastClaimMillis(count, 1_000)) + MARGIN_MILLIS)
        }
    }

    @Test
    fun `starts a lost task by a bound that does not grow with owners that record nothing`() {
        val alone = startAfterOwners(0, 0)
        for (count in 1..5) {
            expectThat(startAfterOwners(count, 100)).describedAs("$count owners")
                .isLessThan(maxOf(alone, lastClaimMillis(count, 100)) + MARGIN_MILLIS)
        }
    }

    // Guards against a limit that is dropped once the lease has lapsed, while the worker is listed.
    @Test
    fun `starts a lost task soon if an earlier owner has waited until the lease had lapsed`() {
        listed = listOf("w1", "gone")
        for (millis in 100L..2_000L step 50) {
            roster = RosterRecord(listOf(ref("gone"), ref("w1")), 1)
            owner(2, 0).waitFor(WAIT_MILLIS, 2)
            owner(3, WAIT_MILLIS + TAKEOVER_MILLIS).waitFor(millis, 3)
            val claimed = WAIT_MILLIS + millis + 2 * TAKEOVER_MILLIS
            val started = owner(4, claimed).ownFor(LONGEST_MILLIS, 4)
            expectThat(checkNotNull(started) - claimed).describedAs("an owner for $millis ms")
                .isLessThan(MARGIN_MILLIS)
        }
    }

    private fun ref(id: String) = WorkerRef(id, "10.0.0.1:$id")

    /** Like [ownFor], with nothing to start. */
    private fun SchedulerDriver.waitFor(millis: Long, epoch: Long) {
        scheduler.onWorkflowCancelled("job", now, now)
        ownFor(millis, epoch)
    }

    // Guards against a wait for an old owner that has died, where a worker goes at the same time.
    @Test
    fun `starts a task of a worker that went with its owner within nine seconds`() {
        expectThat(startAfterOwners(0, 0) + TAKEOVER_MILLIS).isLessThan(RESTART_MILLIS)
    }

    // Guards against a wait that counts from the claim, which an outage of the store delays.
    @Test
    fun `starts a lost task at once where the store was away longer than any lease`() {
        expectThat(startAfterOwners(0, 0, heartbeatMillis = -LONG_OUTAGE_MILLIS))
            .isLessThan(MARGIN_MILLIS)
    }

    // The time of the first owner's death is not known, so that it may have granted a lease since.
    @Test
    fun `starts a lost task no earlier than a lease that the first owner may have granted`() {
        for (count in 0..5) {
            for (millis in listOf(100L, 1_000L, 3_000L)) {
                val earliest = settings.leaseHorizonMillis - TAKEOVER_MILLIS
                expectThat(startAfterOwners(count, millis)).isGreaterThan(earliest)
            }
        }
    }

    @Test
    fun `starts a lost task no earlier than a lease of a first owner without heartbeats`() {
        val earliest = settings.lapsedBy(SchedulerSettings.PAST_LEASE_MILLIS)
        for (count in 0..5) {
            for (millis in listOf(100L, 1_000L, 3_000L)) {
                expectThat(startAfterOwners(count, millis, heartbeatMillis = null))
                    .isGreaterThan(earliest)
            }
        }
    }

    // Guards against recovered tasks that wait whenever a worker is added to the fleet.
    @Test
    fun `starts recovered tasks while a worker that no earlier owner knew has not answered`() {
        listed = listOf("w1", "new")
        roster = RosterRecord(listOf(ref("w1")), 1)
        val driver = owner(2, 0)
        var started = false
        while (driver.now < 500) {
            driver.step()
            started = started || driver.starts.isNotEmpty()
            driver.polls.filter { it.worker.id == "w1" }.forEach { driver.report(it) }
        }
        expectThat(started).isTrue()
    }

    /**
     * Returns when the lasting task starts again after the first owner and [count] more, each of
     * which goes on for [millis], have ended, each together with a worker; the first one, on whose
     * worker the task ran, ends at 0.
     */
    private fun startAfterOwnersWithWorkers(count: Int, millis: Long): Long {
        listed = listOf("x1")
        val first = ownerOfLasting(1, -FIRST_TERM_MILLIS)
        checkNotNull(first.serveFor(FIRST_TERM_MILLIS / 2, 1, "x1")) { "the task never ran" }
        listed = listOf("x1", "w1")
        first.list()
        first.serveFor(-first.now, 1, "x1", "w1")
        var claim = TAKEOVER_MILLIS
        for (epoch in 2L until 2L + count) {
            listed = listOf("w1", "x$epoch")
            ownerOfLasting(epoch, claim).serveFor(millis, epoch, "w1", "x$epoch")
                ?.let { return it }
            claim += millis + TAKEOVER_MILLIS
        }
        listed = listOf("w1")
        val last = 2L + count
        return checkNotNull(ownerOfLasting(last, claim).serveFor(LONGEST_MILLIS, last, "w1")) {
            "the task never starts"
        }
    }

    // Guards against a wait for each worker that goes with a later owner, on which the task never ran.
    @Test
    fun `starts a lost task by a bound that does not grow with owners that take other workers`() {
        for (millis in listOf(2_000L, 3_000L, 4_500L, 6_000L)) {
            for (count in 0..5) {
                OwnerSeriesTest().run {
                    val started = startAfterOwnersWithWorkers(count, millis)
                    val disruptions = (0..count).map { it * (millis + TAKEOVER_MILLIS) }
                    // Later ones come once the task has had an owner that knew it to have ended.
                    val disruption = disruptions.firstOrNull {
                        it + TAKEOVER_MILLIS + millis >= LEASE_LAPSED_MILLIS + 1_000
                    } ?: disruptions.last()
                    expectThat(started).describedAs("$count owners for $millis ms")
                        .isLessThan(maxOf(RESTART_MILLIS, disruption + CALM_MILLIS))
                }
            }
        }
    }

    // Guards against a wait for a worker that went with the owner when the task was off already.
    @Test
    fun `starts a task within two seconds that was off before another worker went`() {
        listed = listOf("x1")
        val first = ownerOfLasting(1, -2 * WAIT_MILLIS)
        checkNotNull(first.serveFor(FIRST_TERM_MILLIS, 1, "x1")) { "the task never ran" }
        listed = listOf("other")
        first.list()
        expectThat(first.serveFor(-first.now, 1, "other")).isNull()
        listed = listOf("w1")
        val started = ownerOfLasting(2, TAKEOVER_MILLIS).serveFor(LONGEST_MILLIS, 2, "w1")
        expectThat(checkNotNull(started) - TAKEOVER_MILLIS).isLessThan(2_000)
    }

    @Test
    fun `logs for which workers recovered tasks wait, and when the wait is over`() {
        roster = RosterRecord(listOf(WorkerRef("gone", "address")), 1)
        val driver = owner(2, 0)
        val events = ArrayList<SchedulerEvent>()
        while (driver.now < 20_000) {
            driver.step()
            events += driver.actions.filterIsInstance<SchedulerAction.Log>().map { it.event }
            driver.polls.forEach {
                if (it.worker.id == "w1") {
                    driver.report(it)
                } else {
                    driver.answer(it, WorkerAnswer.Rejected(RejectReason.NOT_SENT))
                }
            }
        }
        val waits = events.single { it.name == "recovery-waits" }
        expectThat(waits.fields["first"]).isEqualTo("gone")
        expectThat(waits.fields["recoveredWorkflows"]).isEqualTo(1)
        val complete = events.single { it.name == "recovery-complete" }
        expectThat(complete.fields["waitedMillis"] as Long)
            .isGreaterThan(SchedulerSettings.PAST_LEASE_MILLIS)
    }

    private companion object {
        const val POLL_TIMEOUT_MILLIS = 600L

        /** The users' limit on how long a lasting task may be off. */
        const val RESTART_MILLIS = 9_000L

        /** The users' limit on how long it may be off after the last disruption. */
        const val CALM_MILLIS = 7_000L

        /** When all leases of an owner have lapsed that ended at 0. */
        const val LEASE_LAPSED_MILLIS = 8_000L
        const val FIRST_TERM_MILLIS = 4_000L
        const val LABEL = "label"

        /** How long a host takes to see what another one has written. */
        const val SIGHTING_MILLIS = 20L

        /** How long the store keeps the key of an owner that has ended. */
        const val TAKEOVER_MILLIS = 2_000L
        const val LONGEST_MILLIS = 60_000L

        /** Longer than a lease and the time for which heartbeats allow leases. */
        const val LONG_OUTAGE_MILLIS = 10_000L

        /** Longer than any lease may last after a claim. */
        const val WAIT_MILLIS = 15_000L

        /** A takeover and one more poll. */
        const val MARGIN_MILLIS = TAKEOVER_MILLIS + 1_500L
    }
}
