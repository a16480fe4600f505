package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Leases that last longer on a worker than their owner believes. */
class LateLeaseTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private lateinit var worker: ModelWorker

    /** Lists w1 and answers its first polls from the model; then lets [idleMillis] pass. */
    private fun idle(clockPerMille: Long, idleMillis: Long) {
        worker = ModelWorker(driver.ref("w1"), WORK_MILLIS, clockPerMille)
        worker.restart(0)
        scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        repeat(4) {
            driver.step()
            driver.polls.forEach {
                driver.answer(it, worker.carryOut(it, driver.now) {}.received())
            }
        }
        driver.step(idleMillis)
    }

    private fun WorkerAnswer.received() = if (this is WorkerAnswer.Reported) {
        WorkerAnswer.Reported(report.copy(receivedMillis = driver.now))
    } else {
        this
    }

    /**
     * Submits a task, has w1 carry out its start and the poll sent with it [LATE_MILLIS] later, lets no
     * answer of w1 through, and returns the tasks that start on w2 while they run on w1.
     */
    private fun playOneWay(): List<TaskName> {
        driver.submit(driver.workflow("job"))
        driver.step()
        val start = driver.starts.single()
        val sentMillis = driver.now
        var isCarriedOut = false
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        val twice = ArrayList<TaskName>()
        while (driver.now < sentMillis + LAST_MILLIS) {
            driver.step()
            if (!isCarriedOut && driver.now >= sentMillis + LATE_MILLIS) {
                isCarriedOut = true
                worker.carryOut(start, driver.now) {}
                scheduler.onStartAnswer(start, WorkerAnswer.Unknown("timeout"), driver.now)
            }
            worker.advance(driver.now)
            driver.starts.filter { it.worker.id == "w2" && it.task in worker.running }
                .mapTo(twice) { it.task }
            for (poll in driver.polls) {
                if (poll.worker.id == "w2") {
                    driver.report(poll)
                } else {
                    driver.answer(poll, WorkerAnswer.Unknown("timeout"))
                }
            }
        }
        expectThat(isCarriedOut).isEqualTo(true)
        return twice
    }

    @Test
    fun `a start that is carried out late gives no longer lease than its owner believes`() {
        idle(clockPerMille = 1_000, idleMillis = 60_000)
        expectThat(playOneWay()).isEmpty()
    }

    // Guards against a lease that the clock of an earlier life makes too long.
    @Test
    fun `a start that a new life carries out late gives no longer lease than its owner believes`() {
        idle(clockPerMille = 1_000, idleMillis = 60_000)
        worker.crash()
        worker.restart(driver.now)
        expectThat(playOneWay()).isEmpty()
    }

    // Guards against a lease that an old reading of a slow clock makes too long.
    @Test
    fun `a start that a slow clock carries out late gives no longer lease than believed`() {
        idle(clockPerMille = 980, idleMillis = 30_000)
        expectThat(playOneWay()).isEmpty()
    }

    private companion object {
        /** Longer than a lease, so that only its end ends the run. */
        const val WORK_MILLIS = 20_000L

        /** Within the time after which an order may still be carried out. */
        const val LATE_MILLIS = 1_000L
        const val LAST_MILLIS = 9_000L
    }
}
