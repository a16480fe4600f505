package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** What is known of a worker's earlier life must not be applied to the life that follows it. */
class EarlierLifeTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler

    private fun elsewhere(listing: WorkerListing) =
        listing.copy(ref = listing.ref.copy(address = "10.0.0.2:${listing.ref.id}"))

    // Guards against work on a worker that the durable roster names at an earlier address only.
    @Test
    fun `a worker that moved gets no work before the roster names its new address`() {
        driver.recordsAtOnce = false
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it) }
        val moved = elsewhere(driver.listing("w1"))
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
        driver.step()
        expectThat(driver.starts.single().worker).isEqualTo(moved.ref)
    }

    // Guards against a second run beside one that goes on, by a late entry of an earlier life.
    @Test
    fun `an entry with another address alone ends no run`() {
        driver.workers("w1", "w2")
        driver.submit(driver.workflow())
        driver.step()
        val run = driver.starts.single().also(driver::done)
        val listing = driver.listing(run.worker.id)
        scheduler.onWorkerListed(elsewhere(listing), driver.now)
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

    // Guards against runs that wait for a lease although their worker has certainly ended.
    @Test
    fun `the entry of a later life at another address restarts what ran`() {
        val first = driver.listing("w1").copy(startedUnixMillis = 1)
        scheduler.onWorkersListed(listOf(first), driver.now)
        driver.settle()
        driver.submit(driver.workflow())
        driver.step()
        driver.done(driver.starts.single())
        val second = elsewhere(first).copy(startedUnixMillis = 2)
        scheduler.onWorkerListed(second, driver.now)
        val began = driver.now
        do {
            driver.step()
            driver.polls.forEach { driver.report(it, born = 2) }
        } while (driver.starts.isEmpty() && driver.now < began + LEASE_MILLIS)
        expectThat(driver.starts.single().worker).isEqualTo(second.ref)
        expectThat(driver.now - began).isLessThan(SOON_MILLIS)
    }

    // Guards against a worker that is lost for good because an entry at another address was held.
    @Test
    fun `an entry at another address is used once the earlier life's lease has lapsed`() {
        driver.workers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val first = driver.starts.single().also(driver::done)
        val moved = elsewhere(driver.listing("w1"))
        scheduler.onWorkerListed(moved, driver.now)
        val began = driver.now
        do {
            driver.step()
            val (lost, reached) = driver.polls.partition { it.worker == first.worker }
            lost.forEach { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
            reached.forEach { driver.report(it) }
        } while (driver.starts.isEmpty() && driver.now < began + 2 * LEASE_MILLIS)
        expectThat(driver.starts.single().worker).isEqualTo(moved.ref)
        expectThat(driver.now - began).isGreaterThan(MOST_LEASE_PASSED_MILLIS)
    }

    // Guards against a second run beside one on a worker whose entry an earlier life overwrote.
    @Test
    fun `a new owner waits for a rostered life where the entry names another address`() {
        val next = SchedulerDriver(epoch = 2)
        val overwritten = elsewhere(next.listing("w1"))
        next.scheduler.onWorkersListed(listOf(overwritten, next.listing("w2")), next.now)
        next.scheduler.addRosteredWorker(next.ref("w1"), next.now + LEASE_MILLIS)
        next.submit(next.workflow(), isRecovered = true)
        val began = next.now
        while (next.starts.isEmpty() && next.now < began + 2 * LEASE_MILLIS) {
            next.step()
            val (lost, reached) = next.polls.partition { it.worker.id == "w1" }
            lost.forEach { next.answer(it, WorkerAnswer.Unknown("timeout")) }
            reached.forEach { next.report(it) }
        }
        expectThat(next.starts.single().worker.id).isEqualTo("w2")
        expectThat(next.now - began).isGreaterThan(LEASE_MILLIS)
    }

    // Guards against a second run on a worker that has forgotten the epoch of the next owner.
    @Test
    fun `an owner that may have been replaced starts nothing on a worker that started anew`() {
        driver.workers("w1")
        driver.submit(driver.workflow())
        driver.step()
        val first = driver.starts.single().also(driver::done)
        driver.isSoleOwner = false
        repeat(STEPS) {
            driver.step()
            expectThat(driver.starts.filter { it.run > first.run }).isEmpty()
            driver.polls.forEach { driver.report(it, born = 2) }
        }
        driver.isSoleOwner = true
        val back = driver.now
        do driver.step() while (driver.starts.isEmpty() && driver.now < back + SOON_MILLIS)
        expectThat(driver.starts.single().run).isGreaterThan(first.run)
    }

    private companion object {
        const val LEASE_MILLIS = 6_420L

        /** The lease was given some steps before its worker's entry changed. */
        const val MOST_LEASE_PASSED_MILLIS = 6_000L

        /** The time of a first poll and of a record of the roster, and some steps. */
        const val SOON_MILLIS = 500L

        /** Some polls of a worker long. */
        const val STEPS = 40
    }
}
