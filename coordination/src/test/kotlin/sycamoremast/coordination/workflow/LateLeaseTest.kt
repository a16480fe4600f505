package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Tests of leases that could last longer on a worker than their owner assumes. */
class LateLeaseTest {
    private val driver = SchedulerDriver()
    private val scheduler = driver.scheduler
    private lateinit var worker: ModelWorker

    /** Lists w1, answers its first polls from the model and lets [idleMillis] pass. */
    private fun idleWorker(clockPerMille: Long, idleMillis: Long) {
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
     * Submits a task whose start w1 carries out [LATE_MILLIS] late, while no answer of w1 arrives.
     *
     * Returns the tasks that start on w2 while they still run on w1.
     */
    private fun runWithoutAnswers(): List<TaskName> {
        driver.submit(driver.workflow("job"))
        driver.step()
        val start = driver.starts.single()
        val sentMillis = driver.now
        var isCarriedOut = false
        scheduler.onWorkerListed(driver.listing("w2"), driver.now)
        val startedTwice = ArrayList<TaskName>()
        while (driver.now < sentMillis + END_MILLIS) {
            driver.step()
            if (!isCarriedOut && driver.now >= sentMillis + LATE_MILLIS) {
                isCarriedOut = true
                worker.carryOut(start, driver.now) {}
                scheduler.onStartAnswer(start, WorkerAnswer.Unknown("timeout"), driver.now)
            }
            worker.advance(driver.now)
            driver.starts.filter { it.worker.id == "w2" && it.task in worker.running }
                .mapTo(startedTwice) { it.task }
            for (poll in driver.polls) {
                if (poll.worker.id == "w2") {
                    driver.report(poll)
                } else {
                    driver.answer(poll, WorkerAnswer.Unknown("timeout"))
                }
            }
        }
        expectThat(isCarriedOut).isEqualTo(true)
        return startedTwice
    }

    @Test
    fun `a start that is carried out late grants no longer lease than assumed`() {
        idleWorker(clockPerMille = 1_000, idleMillis = 60_000)
        expectThat(runWithoutAnswers()).isEmpty()
    }

    // Guards against a lease that is too long as its end was set by an earlier clock of the worker.
    @Test
    fun `a start that a new incarnation carries out late grants no longer lease than assumed`() {
        idleWorker(clockPerMille = 1_000, idleMillis = 60_000)
        worker.crash()
        worker.restart(driver.now)
        expectThat(runWithoutAnswers()).isEmpty()
    }

    // Guards against a lease that is too long because of an old reading of a slow clock.
    @Test
    fun `a late start on a worker with a slow clock grants no longer lease than assumed`() {
        idleWorker(clockPerMille = 980, idleMillis = 30_000)
        expectThat(runWithoutAnswers()).isEmpty()
    }

    private companion object {
        /** Longer than a lease, so that only the end of the lease ends the run. */
        const val WORK_MILLIS = 20_000L

        /** Within the time during which a sent order may still be carried out. */
        const val LATE_MILLIS = 1_000L
        const val END_MILLIS = 9_000L
    }
}
