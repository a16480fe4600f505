package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Tests of a series of owners, each of which ends without notice, after a worker was lost.
 *
 * A lasting task of that worker must start again within a bound that does not grow with the number
 * of owners, although each of them knows only what the store holds and when it saw earlier claims.
 */
class OwnerSeriesTest {
    private val settings = SchedulerSettings()
    private var roster: StoredRoster? = null
    private val claims = HashMap<Long, Long>()

    /** When each revision of the store was seen: claims at once, others within a second. */
    private val reached = HashMap<Long, Long>()
    private var revision = 1L

    /** The owner of [epoch], which begins at [nowMillis] with what the store holds. */
    private fun owner(epoch: Long, nowMillis: Long): SchedulerDriver {
        claims[epoch] = nowMillis
        reached[++revision] = nowMillis
        val driver = SchedulerDriver(epoch).apply { now = nowMillis }
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), nowMillis)
        val inherited = roster
        inherited?.record?.workers?.forEach {
            val times = ClaimTimes(nowMillis, claims.toMap(), reached.toMap())
            val lapsedBy = inherited.record.lapsedByMillis(it, inherited.version, times, settings)
            val limit = inherited.record.inheritedLease(it, inherited.version, revision, settings)
            driver.scheduler.addRosteredWorker(it, lapsedBy, limit)
        }
        driver.submit(driver.workflow("job", driver.taskStep()), isRecovered = epoch > 1)
        return driver
    }

    /**
     * Lets [driver] own the workers for [millis], "gone" answering none of its calls; returns the
     * time of the first start, or null if there is none.
     */
    private fun SchedulerDriver.ownFor(millis: Long, epoch: Long): Long? {
        val until = now + millis
        while (now < until) {
            step()
            records.forEach { batch ->
                batch.roster?.let { workers ->
                    val left = batch.leasesLeft
                    val record =
                        RosterRecord(workers, epoch, left.fixed, left.draining, left.inherited)
                    roster = StoredRoster(record, ++revision)
                    reached[revision] = now + WATCH_MILLIS
                }
            }
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

    /** Returns when the task starts after [count] owners that each go on for [millis]. */
    private fun startAfterOwners(count: Int, millis: Long): Long {
        val workers = listOf(WorkerRef("gone", "address"), WorkerRef("w1", "10.0.0.1:w1"))
        roster = StoredRoster(RosterRecord(workers, 1), revision)
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

    @Test
    fun `starts a lost task by a bound that does not grow with owners that last a second`() {
        val alone = startAfterOwners(0, 0)
        for (count in 1..5) {
            expectThat(startAfterOwners(count, 1_000)).describedAs("$count owners")
                .isLessThan(alone + MARGIN_MILLIS)
        }
    }

    @Test
    fun `starts a lost task by a bound that does not grow with owners that record nothing`() {
        val alone = startAfterOwners(0, 0)
        for (count in 1..5) {
            expectThat(startAfterOwners(count, 100)).describedAs("$count owners")
                .isLessThan(alone + MARGIN_MILLIS)
        }
    }

    // Guards against a wait for an old owner that has died, where a worker goes at the same time.
    @Test
    fun `starts a task of a worker that went with its owner within nine seconds`() {
        expectThat(startAfterOwners(0, 0)).isLessThan(RESTART_MILLIS)
    }

    // The time of the first owner's death is not known, so that it may have granted a lease since.
    @Test
    fun `starts a lost task no earlier than a lease that the first owner may have granted`() {
        val earliest = settings.lapsedBy(SchedulerSettings.PAST_LEASE_MILLIS)
        for (count in 0..5) {
            for (millis in listOf(100L, 1_000L, 3_000L)) {
                expectThat(startAfterOwners(count, millis)).isGreaterThan(earliest)
            }
        }
    }

    private companion object {
        const val POLL_TIMEOUT_MILLIS = 600L

        /** The users' limit on how long a lasting task may be off. */
        const val RESTART_MILLIS = 9_000L

        /** How long the store keeps the key of an owner that has ended. */
        const val TAKEOVER_MILLIS = 2_000L

        /** How long a watch of the store waits for a change. */
        const val WATCH_MILLIS = 1_000L
        const val LONGEST_MILLIS = 60_000L

        /** A takeover and one more poll. */
        const val MARGIN_MILLIS = TAKEOVER_MILLIS + 1_500L
    }
}
