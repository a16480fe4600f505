package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Checks that the state of a worker's earlier incarnation is not applied to a later one. */
class EarlierIncarnationTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    private fun atOtherAddress(listing: WorkerListing) =
        listing.copy(ref = listing.ref.copy(address = "10.0.0.2:${listing.ref.id}"))

    // Guards against tasks on a worker that the durable roster names only at an earlier address.
    @Test
    fun `starts no task on a moved worker before the roster names its new address`() {
        driver.areRecordsDurableAtOnce = false
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it) }
        driver.step()
        val moved = atOtherAddress(driver.listing("w1"))
        scheduler.onWorkerListed(moved, driver.now)
        scheduler.onBatchDurable()
        val starts = ArrayList<StartOrder>()
        repeat(4) {
            driver.step()
            starts += driver.starts
            driver.polls.filter { it.worker == moved.ref }.forEach { driver.report(it) }
        }
        expectThat(starts).isEmpty()
        scheduler.onBatchDurable()
        expectThat(driver.step().filterIsInstance<SchedulerAction.Start>()).isEmpty()
        // The heartbeat without which the worker gets no lease.
        expectThat(driver.records.single().isHeartbeat).isTrue()
        scheduler.onBatchDurable()
        driver.step()
        expectThat(driver.starts.single().worker).isEqualTo(moved.ref)
    }

    // Guards against a concurrent second run after a late entry of an earlier incarnation.
    @Test
    fun `keeps runs when an entry names another address without a later start time`() {
        driver.listWorkers("w1", "w2")
        driver.submit(driver.workflow())
        driver.step()
        val run = driver.starts.single().also(driver::confirmStart)
        val listing = driver.listing(run.worker.id)
        scheduler.onWorkerListed(atOtherAddress(listing), driver.now)
        val row = RunningRow(run.task, run.run, "", 50, null)
        repeat(STEPS) {
            driver.step()
            expectThat(driver.starts).isEmpty()
            driver.polls.forEach {
                driver.report(it, if (it.worker == run.worker) listOf(row) else emptyList())
            }
        }
        scheduler.onWorkerListed(listing, driver.now)
        driver.report(driver.freshPoll(run.worker.id), running = listOf(row))
        expectThat(driver.starts).isEmpty()
    }

    // Guards against tasks that wait for a lease although their worker has certainly ended.
    @Test
    fun `restarts tasks when an entry names a later incarnation at another address`() {
        val first = driver.listing("w1").copy(startedUnixMillis = 1)
        scheduler.onWorkersListed(listOf(first), driver.now)
        driver.settle()
        driver.submit(driver.workflow())
        driver.step()
        driver.confirmStart(driver.starts.single())
        val second = atOtherAddress(first).copy(startedUnixMillis = 2)
        scheduler.onWorkerListed(second, driver.now)
        val beganMillis = driver.now
        do {
            driver.step()
            driver.polls.forEach { driver.report(it, started = 2) }
        } while (driver.starts.isEmpty() && driver.now < beganMillis + LEASE_MILLIS)
        expectThat(driver.starts.single().worker).isEqualTo(second.ref)
        expectThat(driver.now - beganMillis).isLessThan(SOON_MILLIS)
    }

    // Guards against a worker that is lost because its entry at another address was held back.
    @Test
    fun `uses an entry at another address once the earlier incarnation's lease has lapsed`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val first = driver.starts.single().also(driver::confirmStart)
        val moved = atOtherAddress(driver.listing("w1"))
        scheduler.onWorkerListed(moved, driver.now)
        val beganMillis = driver.now
        do {
            driver.step()
            val (unanswered, reached) = driver.polls.partition { it.worker == first.worker }
            unanswered.forEach { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
            reached.forEach { driver.report(it) }
        } while (driver.starts.isEmpty() && driver.now < beganMillis + 2 * LEASE_MILLIS)
        expectThat(driver.starts.single().worker).isEqualTo(moved.ref)
        expectThat(driver.now - beganMillis).isGreaterThan(MIN_LEASE_REST_MILLIS)
    }

    // Guards against a concurrent second run when an earlier incarnation overwrote the entry.
    @Test
    fun `waits for the rostered incarnation when the entry names another address`() {
        val next = SchedulerDriver(epoch = 2)
        val overwritten = atOtherAddress(next.listing("w1"))
        next.scheduler.onWorkersListed(listOf(overwritten, next.listing("w2")), next.now)
        next.scheduler.addRosteredWorker(next.ref("w1"), next.now + LEASE_MILLIS)
        next.submit(next.workflow(), isRecovered = true)
        val beganMillis = next.now
        while (next.starts.isEmpty() && next.now < beganMillis + 2 * LEASE_MILLIS) {
            next.step()
            val (unanswered, reached) = next.polls.partition { it.worker.id == "w1" }
            unanswered.forEach { next.answer(it, WorkerAnswer.Unknown("timeout")) }
            reached.forEach { next.report(it) }
        }
        expectThat(next.starts.single().worker.id).isEqualTo("w2")
        expectThat(next.now - beganMillis).isGreaterThan(LEASE_MILLIS)
    }

    // Guards against a second run on a worker that lost the epoch of the next owner in a restart.
    @Test
    fun `starts nothing on a restarted worker when the owner may have been replaced`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val first = driver.starts.single().also(driver::confirmStart)
        driver.isSoleOwner = false
        repeat(STEPS) {
            driver.step()
            expectThat(driver.starts.filter { it.run > first.run }).isEmpty()
            driver.polls.forEach { driver.report(it, started = 2) }
        }
        driver.isSoleOwner = true
        val restored = driver.now
        do driver.step() while (driver.starts.isEmpty() && driver.now < restored + SOON_MILLIS)
        expectThat(driver.starts.single().run).isGreaterThan(first.run)
    }

    private companion object {
        const val LEASE_MILLIS = 6_420L

        /** Less than a lease, which was granted some steps before the worker's entry changed. */
        const val MIN_LEASE_REST_MILLIS = 6_000L

        /** Covers a first poll, a record of the roster and some steps. */
        const val SOON_MILLIS = 500L

        /** Covers several polls of a worker. */
        const val STEPS = 40
    }
}
