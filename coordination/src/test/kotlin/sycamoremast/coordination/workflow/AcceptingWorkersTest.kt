package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import sycamoremast.coordination.Resources

class AcceptingWorkersTest {
    private val fleet = Fleet(epoch = 1, SchedulerSettings())
    private val accepting = AcceptingWorkers(fleet)
    private val refs = List(4) { WorkerRef("w${it + 1}", "10.0.0.${it + 1}:1") }

    private fun add(ref: WorkerRef) {
        val listing = WorkerListing(
            ref,
            "service",
            "zone",
            Resources(1_000, 1_000),
            emptyList(),
            isDraining = false
        )
        fleet.add(FleetWorker(listing, 0))
    }

    private fun worker(index: Int) = fleet.workers.getValue(refs[index].id)

    /** Lets the worker answer a poll sent at [sentMillis], in the incarnation that it had. */
    private fun answer(index: Int, sentMillis: Long) = worker(index).run {
        recordAnswer(sentMillis, sentMillis)
        recordReport(sentMillis, sentMillis + 10)
    }

    /** Adds all workers, which answer at 100, and makes a heartbeat and a roster of them durable. */
    private fun begin() {
        refs.forEach(::add)
        refs.indices.forEach { answer(it, 100) }
        makeHeartbeatDurable(200)
        accepting.onRosterFormed(refs.toSet())
        accepting.onRosterDurable()
    }

    private fun makeHeartbeatDurable(formedMillis: Long) {
        fleet.onHeartbeatFormed(formedMillis)
        fleet.onHeartbeatKnown(formedMillis, isDurable = true)
    }

    @Test
    fun `counts from the oldest answer of the latest majority`() {
        begin()
        listOf(300L, 500L, 400L, 100L).forEachIndexed(::answer)
        expectThat(accepting.acceptedMillisOrNull()).isEqualTo(300)
    }

    // Guards against leases that a successor which has reached the other half does not know (TWICE).
    @Test
    fun `does not count half of the workers as a majority`() {
        begin()
        answer(0, 500)
        answer(1, 500)
        expectThat(accepting.acceptedMillisOrNull()).isEqualTo(100)
    }

    // Guards against a worker that has forgotten the successor which it had answered (TWICE).
    @Test
    fun `does not count a worker that has restarted since the last durable heartbeat`() {
        begin()
        refs.indices.forEach { answer(it, 500) }
        listOf(0, 1).forEach {
            worker(it).resetAfterRestart()
            answer(it, 600)
        }
        expectThat(accepting.acceptedMillisOrNull()).isNull()
        makeHeartbeatDurable(700)
        expectThat(accepting.acceptedMillisOrNull()).isEqualTo(500)
    }

    // Guards against a restarted worker that counts by a heartbeat which is only announced (TWICE).
    @Test
    fun `does not count a restarted worker by a heartbeat that is not durable`() {
        begin()
        listOf(0, 1).forEach {
            worker(it).resetAfterRestart()
            answer(it, 600)
        }
        fleet.onHeartbeatFormed(700)
        fleet.onHeartbeatKnown(700, isDurable = false)
        expectThat(accepting.acceptedMillisOrNull()).isNull()
    }

    // Guards against a successor that reads a roster of which this owner does not know (TWICE).
    @Test
    fun `needs a majority of the workers in a roster that may be durable, too`() {
        begin()
        val added = List(5) { WorkerRef("x$it", "10.0.1.$it:1") }
        added.forEach(::add)
        accepting.onRosterFormed((refs + added).toSet())
        refs.indices.forEach { answer(it, 500) }
        expectThat(accepting.acceptedMillisOrNull()).isNull()
        accepting.onRosterDurable()
        expectThat(accepting.acceptedMillisOrNull()).isNull()
    }

    // Guards against leases that a successor which has read the other roster does not know (TWICE).
    @Test
    fun `counts from the roster whose majority answered earlier`() {
        begin()
        val added = List(5) { WorkerRef("x$it", "10.0.1.$it:1") }
        added.forEach(::add)
        accepting.onRosterFormed(added.toSet())
        refs.indices.forEach { answer(it, 500) }
        added.forEach { fleet.workers.getValue(it.id).recordAnswer(100, 100) }
        makeHeartbeatDurable(550)
        added.forEach { fleet.workers.getValue(it.id).recordReport(300, 310) }
        expectThat(accepting.acceptedMillisOrNull()).isEqualTo(300)
        added.forEach { fleet.workers.getValue(it.id).recordReport(900, 910) }
        expectThat(accepting.acceptedMillisOrNull()).isEqualTo(500)
    }

    @Test
    fun `does not count a worker at another address`() {
        begin()
        listOf(0, 1).forEach {
            fleet.remove(worker(it))
            add(refs[it].copy(address = "10.0.2.1:1"))
        }
        expectThat(accepting.acceptedMillisOrNull()).isNull()
    }

    // Guards against a quorum that leaves no majority, and one that a lost zone of three ends.
    @Test
    fun `needs three fifths of the workers, and a majority of few`() {
        val quorums = (0..10).map(AcceptingWorkers::quorum)
        expectThat(quorums).isEqualTo(listOf(1, 1, 2, 2, 3, 3, 4, 5, 5, 6, 6))
        expectThat(AcceptingWorkers.quorum(45)).isEqualTo(27)
        for (workers in 1..1_000) {
            val quorum = AcceptingWorkers.quorum(workers)
            expectThat(quorum).describedAs("$workers workers")
                .isIn(AcceptingWorkers.majority(workers)..workers)
            expectThat(quorum).describedAs("$workers workers, a third lost")
                .isLessThanOrEqualTo(workers - workers / 3)
        }
    }

    /** Adds nine workers, like [begin]; six of them are a quorum. */
    private fun beginWithNine(): List<FleetWorker> {
        val nine = List(9) { WorkerRef("x$it", "10.0.1.$it:1") }
        nine.forEach(::add)
        val workers = nine.map { fleet.workers.getValue(it.id) }
        workers.forEach { it.recordAnswer(100, 100) }
        makeHeartbeatDurable(200)
        accepting.onRosterFormed(nine.toSet())
        accepting.onRosterDurable()
        return workers
    }

    // Guards against leases that a successor does not know of which has reached two fifths (TWICE).
    @Test
    fun `does not count a majority that is no quorum`() {
        val workers = beginWithNine()
        workers.take(5).forEach { it.recordReport(300, 310) }
        expectThat(accepting.acceptedMillisOrNull()).isNull()
        workers[5].recordReport(400, 410)
        expectThat(accepting.acceptedMillisOrNull()).isEqualTo(300)
    }

    // Guards against leases that end in an outage as too few idle workers are asked (LOST, issue 55).
    @Test
    fun `asks a quorum of idle workers for reports`() {
        val workers = beginWithNine()
        accepting.requestReports()
        expectThat(workers.count { it.isReportDue }).isEqualTo(6)
    }

    @Test
    fun `asks as many idle workers for reports as are missing to a majority`() {
        begin()
        worker(0).recordContactFailure()
        accepting.requestReports()
        expectThat(refs.indices.count { worker(it).isReportDue }).isEqualTo(3)
        expectThat(worker(0).isReportDue).isFalse()
        expectThat(worker(3).isReportDue).isTrue()
    }
}
