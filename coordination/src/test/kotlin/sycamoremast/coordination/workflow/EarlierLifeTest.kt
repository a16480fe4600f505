package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

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
        scheduler.listed(listOf(driver.listing("w1")), driver.now)
        driver.submit(driver.workflow())
        driver.step()
        driver.polls.forEach { driver.report(it) }
        val moved = elsewhere(driver.listing("w1"))
        scheduler.listed(moved, driver.now)
        scheduler.recorded()
        val starts = ArrayList<StartOrder>()
        repeat(4) {
            driver.step()
            starts += driver.starts
            driver.polls.filter { it.worker == moved.ref }.forEach { driver.report(it) }
        }
        expectThat(starts).isEmpty()
        scheduler.recorded()
        driver.step()
        expectThat(driver.starts.single().worker).isEqualTo(moved.ref)
    }
}
