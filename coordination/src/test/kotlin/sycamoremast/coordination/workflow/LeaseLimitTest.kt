package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.any
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/**
 * Tests of what an owner records of workers that don't answer.
 *
 * Without it each owner of a series waits anew for the longest lease that the one before may have
 * granted, and no task of a recovered workflow starts.
 */
class LeaseLimitTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private val settings = SchedulerSettings()

    /** Starts a task on w1, the only worker. */
    private fun start(): StartOrder {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("job", driver.taskStep()))
        driver.step()
        return driver.starts.single().also(driver::confirmStart)
    }

    /** Steps for [millis] while w1 answers nothing; returns the recorded limits of its lease. */
    private fun stepInSilence(millis: Int): List<Long> {
        val limits = ArrayList<Long>()
        repeat(millis / 50) {
            driver.step()
            limits += driver.records.mapNotNull { it.leasesLeft.fixed["w1"] }
            driver.polls.forEach { driver.answer(it, WorkerAnswer.Unknown("timeout")) }
        }
        return limits
    }

    private fun row(start: StartOrder) = RunningRow(start.task, start.run, "", 50, null)

    @Test
    fun `records how long the lease of a silent worker may last, less as time passes`() {
        start()
        val limits = stepInSilence(5_000)
        expectThat(limits).isNotEmpty()
        expectThat(limits.first()).isLessThan(settings.lapsedBy(0))
        expectThat(limits.last()).isLessThan(limits.first() - 2_000)
    }

    @Test
    fun `records the limit that a successor waits for a worker which it never reached`() {
        val next = SchedulerDriver(epoch = 2)
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.scheduler.addRosteredWorker(next.ref("gone"), next.now + 14_000)
        val limits = ArrayList<Long>()
        repeat(100) {
            next.step()
            limits += next.records.mapNotNull { it.leasesLeft.fixed["gone"] }
            next.polls.forEach {
                if (it.worker.id == "w1") {
                    next.report(it)
                } else {
                    next.answer(it, WorkerAnswer.Rejected(RejectReason.NOT_SENT))
                }
            }
        }
        expectThat(limits.last()).isLessThan(14_000L - 3_000)
    }

    // Guards against a wait that begins anew with each owner of a series that lives for a second.
    @Test
    fun `records with its first roster how long leases of workers without an answer may last`() {
        val next = SchedulerDriver(epoch = 2)
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.scheduler.addRosteredWorker(next.ref("gone"), next.now + 14_000)
        do next.step() while (next.records.isEmpty() && next.now < 2_000)
        expectThat(next.records.first().leasesLeft.fixed["gone"]).isNotNull().isLessThan(14_000)
    }

    // Guards against a lease that the next owner can't know of, as its grantor recorded nothing.
    @Test
    fun `grants no lease before its first roster is durable`() {
        val started = start()
        val next = SchedulerDriver(epoch = 2)
        next.areRecordsDurableAtOnce = false
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.submit(next.workflow("job", next.taskStep()), isRecovered = true)
        val before = next.grantsWhileRunning(started)
        next.scheduler.onBatchDurable()
        next.areRecordsDurableAtOnce = true
        val after = next.grantsWhileRunning(started)
        expectThat(before).isEmpty()
        expectThat(after).isNotEmpty()
    }

    // Guards against a wait for an old owner that a worker which has answered rejects.
    @Test
    fun `limits the lease of an inherited worker by its first answer to this owner`() {
        val next = SchedulerDriver(epoch = 2)
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.scheduler.addRosteredWorker(next.ref("w1"), next.now + 14_000)
        next.settle()
        val limits = ArrayList<Long>()
        repeat(100) {
            next.step()
            limits += next.records.mapNotNull { it.leasesLeft.fixed["w1"] }
            next.polls.forEach { next.answer(it, WorkerAnswer.Unknown("timeout")) }
            if (it == 0) next.submit(next.workflow("job", next.taskStep()))
        }
        expectThat(limits).isNotEmpty()
        expectThat(limits.first()).isLessThan(SchedulerSettings().lapsedBy(0))
    }

    // Guards against leases that lapse as a new owner grants its first ones a second late.
    @Test
    fun `grants the first lease soon after the roster is durable although polls wait`() {
        val started = start()
        val next = SchedulerDriver(epoch = 2)
        next.areRecordsDurableAtOnce = false
        next.scheduler.onWorkersListed(listOf(next.listing("w1")), next.now)
        next.scheduler.addRosteredWorker(next.ref("w1"), next.now + 14_000)
        next.submit(next.workflow("job", next.taskStep()), isRecovered = true)
        var durableMillis = Long.MAX_VALUE
        while (next.now < 5_000) {
            next.step(10)
            if (next.now >= durableMillis) next.scheduler.onBatchDurable()
            if (next.records.isNotEmpty()) durableMillis = next.now + COMMIT_MILLIS
            if (next.polls.any { it.leaseEndMillis != null }) break
            next.polls.filter { next.now >= it.sentMillis + it.waitMillis + ANSWER_MILLIS }
                .forEach { next.report(it, running = listOf(row(started))) }
        }
        expectThat(next.now).isLessThan(durableMillis + MAX_GRANT_DELAY_MILLIS)
    }

    /** Steps while w1 reports [started] as running; returns the leases that polls grant. */
    private fun SchedulerDriver.grantsWhileRunning(started: StartOrder): List<Long> {
        val grants = ArrayList<Long>()
        repeat(10) {
            step()
            polls.forEach { poll ->
                poll.leaseEndMillis?.let { grants += it }
                report(poll, running = listOf(row(started)))
            }
        }
        return grants
    }

    @Test
    fun `grants a worker that answers again no lease until its limit is gone from the store`() {
        val started = start()
        stepInSilence(3_000)
        driver.areRecordsDurableAtOnce = false
        val poll = driver.freshPoll("w1")
        driver.report(poll, running = listOf(row(started)))
        repeat(10) {
            driver.step()
            expectThat(driver.polls).all { get { leaseEndMillis }.isNull() }
            driver.polls.forEach { driver.report(it, running = listOf(row(started))) }
        }
        scheduler.onBatchDurable()
        driver.areRecordsDurableAtOnce = true
        val later = ArrayList<PollOrder>()
        repeat(10) {
            driver.step()
            later += driver.polls
            driver.polls.forEach { driver.report(it, running = listOf(row(started))) }
        }
        expectThat(later).any { get { leaseEndMillis }.isNotNull() }
    }

    @Test
    fun `starts nothing on a restarted worker until the limit of its lease is gone`() {
        start()
        stepInSilence(3_000)
        driver.areRecordsDurableAtOnce = false
        val moved = driver.listing("w1")
            .copy(ref = WorkerRef("w1", "10.0.0.9:1"), startedUnixMillis = 9)
        scheduler.onWorkerUnlisted("w1")
        scheduler.onWorkerListed(moved, driver.now)
        repeat(10) {
            driver.step()
            driver.polls.filter {
                it.worker == moved.ref
            }.forEach { driver.report(it, started = 9) }
            expectThat(driver.starts).isEmpty()
        }
    }

    // Guards against a worker that gets no work any more, as one without runs isn't polled.
    @Test
    fun `starts tasks on a worker without runs that was silent for a while`() {
        driver.listWorkers("w1")
        driver.submit(driver.workflow("first", driver.taskStep()))
        driver.step()
        val first = driver.starts.single()
        stepInSilence(3_000)
        val poll = driver.freshPoll("w1")
        val end = EndedRow(1, first.task, first.run, RunEnd.DONE, "")
        driver.report(poll, ended = listOf(end))
        driver.settle()
        driver.submit(driver.workflow("second", driver.taskStep()))
        driver.step()
        expectThat(driver.starts.map { it.task.workflow }).isEqualTo(listOf("second"))
    }

    // Guards against a wait for workers that leave as planned while there is no owner.
    @Test
    fun `records that a draining worker gets short leases only, and none past the owner's own`() {
        val started = start()
        scheduler.onWorkerListed(driver.listing("w1", isDraining = true), driver.now)
        val limits = ArrayList<Long>()
        val ends = ArrayList<Long?>()
        repeat(200) {
            if (it == 160) driver.isSoleOwner = false
            driver.step()
            limits += driver.records.mapNotNull { record -> record.leasesLeft.draining["w1"] }
            if (it > 160) ends += driver.polls.map { poll -> poll.leaseEndMillis }
            driver.polls.forEach { poll -> driver.report(poll, running = listOf(row(started))) }
        }
        expectThat(limits.first()).isGreaterThan(settings.drainingLimitMillis())
        expectThat(limits.last()).isEqualTo(settings.drainingLimitMillis())
        expectThat(ends).isNotEmpty().all { isNull() }
    }

    private companion object {
        const val ANSWER_MILLIS = 10L
        const val COMMIT_MILLIS = 40L

        /** A poll that is under way and one more step. */
        const val MAX_GRANT_DELAY_MILLIS = 200L
    }
}
