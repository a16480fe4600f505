package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue

/** Tests of tasks that crash the workers that start them. */
class DeadlyTaskTest {
    private val driver = SchedulerDriver()

    private fun workers(count: Int) = CrashingWorkers(driver, count).apply {
        list()
        run(500)
    }

    // Guards against a task that crashes one worker after the other.
    @Test
    fun `gives up a task under which two workers have crashed`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.submit("deadly", driver.taskStep())
        workers.run(30_000)
        expectThat(workers.startsOf("deadly")).hasSize(2)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a task that crashes one worker after the other under its ID.
    @Test
    fun `gives up a task under which two workers have restarted`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.keepsIds = true
        workers.submit("deadly", driver.taskStep())
        workers.run(30_000)
        expectThat(workers.startsOf("deadly")).hasSize(2)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a task that crashes one worker after the other until their leases lapse.
    @Test
    fun `gives up a task under which two workers have gone for longer than their lease`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.downMillis = 12_000
        workers.submit("deadly", driver.taskStep())
        workers.run(60_000)
        expectThat(workers.startsOf("deadly")).hasSize(2)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a lasting task that crashes one worker after the other.
    @Test
    fun `gives up a long-running task that crashes each worker on which it starts`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.submit("deadly", driver.taskStep().copy(isLongRunning = true))
        workers.run(30_000)
        expectThat(workers.startsOf("deadly").size).isLessThanOrEqualTo(MOST_STARTS)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    @Test
    fun `gives up a task whose workers crash before they answer its starts`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.answersDeadlyStarts = false
        workers.submit("deadly")
        workers.run(60_000)
        expectThat(workers.startsOf("deadly").size).isLessThanOrEqualTo(MOST_STARTS)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a job that fails for a crash that another task caused.
    @Test
    fun `completes the neighbours of a task that is given up`() {
        val workers = workers(2)
        workers.deadly += "deadly"
        workers.submit("lasting", driver.taskStep(4).copy(isLongRunning = true))
        workers.run(3_000)
        workers.submit("deadly")
        workers.submit("short", driver.taskStep(20))
        workers.submit("other", driver.taskStep(20))
        workers.run(60_000)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
        expectThat(workers.phaseOf("short")).isEqualTo(WorkflowPhase.COMPLETED)
        expectThat(workers.phaseOf("other")).isEqualTo(WorkflowPhase.COMPLETED)
        expectThat(workers.nodesOf("lasting")).isNotEmpty()
    }

    @Test
    fun `never counts a crash against lasting tasks that have run for long`() {
        val workers = workers(3)
        workers.submit("lasting", driver.taskStep(6).copy(isLongRunning = true))
        workers.run(5_000)
        repeat(6) { i ->
            workers.crash(i % 3)
            workers.run(15_000)
        }
        expectThat(workers.logged("task-suspected")).isEmpty()
        expectThat(workers.phaseOf("lasting")).isEqualTo(WorkflowPhase.RUNNING)
        expectThat(workers.startsOf("lasting").size).isGreaterThan(6)
    }

    /** Crashes the first [crashed] of [count] workers six times, each with a job of [tasks] on them. */
    private fun expectNoJobFails(count: Int, crashed: Int, tasks: Int, pauseMillis: Long) {
        val workers = workers(count)
        repeat(6) { i ->
            workers.submit("job$i", driver.taskStep(tasks))
            workers.run(100)
            repeat(crashed, workers::crash)
            workers.run(pauseMillis)
        }
        workers.run(60_000)
        repeat(6) { i ->
            expectThat(workers.phaseOf("job$i")).isEqualTo(WorkflowPhase.COMPLETED)
        }
    }

    // Guards against jobs that fail as their workers crash for reasons of their own.
    @Test
    fun `fails no job when all workers crash at once again and again`() =
        expectNoJobFails(count = 8, crashed = 8, tasks = 30, pauseMillis = 3_500)

    // Guards against jobs that fail as their workers crash for reasons of their own.
    @Test
    fun `fails no job when a rack crashes again and again`() =
        expectNoJobFails(count = 12, crashed = 4, tasks = 60, pauseMillis = 5_000)

    // Guards against jobs that fail as their workers crash for reasons of their own.
    @Test
    fun `fails no job when workers crash by turns`() {
        val workers = workers(6)
        repeat(40) { i ->
            workers.submit("job$i", driver.taskStep(6))
            workers.run(60)
            workers.crash(i % 6)
            workers.run(1_000)
        }
        workers.run(60_000)
        repeat(40) { i ->
            expectThat(workers.phaseOf("job$i")).isEqualTo(WorkflowPhase.COMPLETED)
        }
    }

    // Guards against jobs that fail as their workers are out of reach.
    @Test
    fun `keeps no crash on record for runs that a worker shows again`() {
        val workers = workers(3)
        workers.workMillis = 9_000
        workers.submit("job", driver.taskStep(6))
        workers.run(100)
        workers.cutOff(0, 3_000)
        workers.run(2_500)
        expectThat(workers.recorded.getValue("job").crashes).isNotEmpty()
        workers.run(30_000)
        expectThat(workers.recorded.getValue("job").crashes).isEmpty()
        expectThat(workers.startsOf("job")).hasSize(6)
        expectThat(workers.phaseOf("job")).isEqualTo(WorkflowPhase.COMPLETED)
    }

    // Guards against a count that begins anew with each owner.
    @Test
    fun `counts the crashes that an earlier owner has seen`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.submit("deadly")
        workers.run(2_900)
        expectThat(workers.startsOf("deadly")).hasSize(1)
        workers.takeOver(2)
        workers.run(60_000)
        expectThat(workers.startsOf("deadly").size).isLessThanOrEqualTo(MOST_STARTS)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a crash that is forgotten as its owner goes before the worker is back.
    @Test
    fun `counts a crash during which another owner takes over`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.submit("deadly")
        repeat(3) { i ->
            val starts = workers.startsOf("deadly").size
            while (workers.startsOf("deadly").size == starts) workers.run(20)
            workers.run(600)
            expectThat(workers.recorded.getValue("deadly").crashes["0.0.0"].orEmpty())
                .hasSize(i + 1)
            workers.takeOver(2L + i)
        }
        workers.run(60_000)
        expectThat(workers.startsOf("deadly").size).isLessThanOrEqualTo(MOST_STARTS)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a deadly task that starts on and on as its owners change (harm to workers).
    @Test
    fun `starts a task once more at most if its fourth crash is recorded as its owner goes`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.submit("deadly")
        repeat(4) { i ->
            val starts = workers.startsOf("deadly").size
            while (workers.startsOf("deadly").size == starts) workers.run(20)
            workers.run(600)
            expectThat(workers.recorded.getValue("deadly").crashes["0.0.0"].orEmpty())
                .hasSize(i + 1)
            workers.takeOver(2L + i)
        }
        workers.run(60_000)
        expectThat(workers.startsOf("deadly").size).isLessThanOrEqualTo(MOST_STARTS)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a job that fails for crashes that earlier owners had explained (LOST).
    @Test
    fun `blames no task for crashes that earlier owners have explained`() {
        val workers = workers(6)
        workers.submit("lasting", driver.taskStep().copy(isLongRunning = true))
        val crashes = mapOf("0.0.0" to setOf(1, 2, 3))
        workers.recorded["lasting"] = WorkflowProgress(
            WorkflowPhase.RUNNING,
            hasBegun = true,
            crashes = crashes,
            explainedCrashes = crashes
        )
        workers.takeOver(2)
        workers.run(20_000) {
            workers.nodesOf("lasting").filter { workers.startsOf("lasting").size == 1 }
                .forEach(workers::crash)
        }
        val counted = workers.logged("crash-counted").single()
        expectThat(counted.fields["crashes"]).isEqualTo(4)
        expectThat(counted.fields["inTrouble"]).isEqualTo(false)
        expectThat(workers.phaseOf("lasting")).isEqualTo(WorkflowPhase.RUNNING)
        expectThat(workers.nodesOf("lasting")).hasSize(1)
    }

    // Guards against lasting tasks that wait for a quiet moment while workers go all the time (LOST).
    @Test
    fun `starts a lasting suspect in time on a fleet that is never quiet`() {
        val workers = workers(8)
        workers.submit("lasting", driver.taskStep().copy(isLongRunning = true))
        val crashes = mapOf("0.0.0" to setOf(1))
        workers.recorded["lasting"] =
            WorkflowProgress(WorkflowPhase.RUNNING, hasBegun = true, crashes = crashes)
        workers.takeOver(2)
        var steps = 0
        workers.run(30_000) {
            val used = workers.nodesOf("lasting")
            if (workers.startsOf("lasting").size == 1) used.forEach(workers::crash)
            if (++steps % 75 == 0) {
                (0 until 8).first { it !in used && workers.isUp(it) }.let(workers::crash)
            }
        }
        val countedMillis = workers.log.single { it.first.name == "crash-counted" }.second
        expectThat(workers.started[1].second - countedMillis).isLessThanOrEqualTo(3_000)
        expectThat(workers.phaseOf("lasting")).isEqualTo(WorkflowPhase.RUNNING)
    }

    // Guards against an owner that leaves no word of which crashes were explained (LOST).
    @Test
    fun `records which crashes the fleet's own trouble explains`() {
        val workers = workers(8)
        workers.submit("job", driver.taskStep(30))
        workers.run(100)
        repeat(8, workers::crash)
        workers.run(2_000)
        val recorded = workers.recorded.getValue("job")
        expectThat(recorded.crashes).isNotEmpty()
        expectThat(recorded.explainedCrashes).isEqualTo(recorded.crashes)
    }

    /** Starts a fifth run of a lasting task whose four crashes another owner has recorded. */
    private fun workersWithFifthRun(): CrashingWorkers {
        val workers = workers(6)
        workers.submit("lasting", driver.taskStep().copy(isLongRunning = true))
        val crashes = mapOf("0.0.0" to setOf(1, 2, 3, 4))
        workers.recorded["lasting"] = WorkflowProgress(
            WorkflowPhase.RUNNING,
            hasBegun = true,
            crashes = crashes,
            explainedCrashes = crashes
        )
        workers.takeOver(2)
        while (workers.nodesOf("lasting").isEmpty()) workers.run(20)
        return workers
    }

    /**
     * Cuts off the worker of a task's fifth run for [cutMillis]; another owner takes over once this is
     * recorded as the fifth crash.
     */
    private fun takeOverAtFifthCrash(cutMillis: Long): CrashingWorkers {
        val workers = workersWithFifthRun()
        workers.cutOff(workers.nodesOf("lasting").single(), cutMillis)
        while (workers.recorded.getValue("lasting").crashes.getValue("0.0.0").size < 5) {
            workers.run(20)
        }
        workers.takeOver(3)
        return workers
    }

    // Guards against a job that a takeover alone fails while its run goes on, on a worker that was cut
    // off as the owner went (LOST).
    @Test
    fun `fails no job for a crash that is undecided as its owner goes`() {
        val workers = takeOverAtFifthCrash(cutMillis = 3_000)
        workers.run(10_000)
        expectThat(workers.phaseOf("lasting")).isEqualTo(WorkflowPhase.RUNNING)
    }

    // Guards against a deadly task that goes on to start, or is never shown as failed.
    @Test
    fun `fails a job whose fifth crash is confirmed after its owner has gone`() {
        val workers = takeOverAtFifthCrash(cutMillis = 60_000)
        workers.run(20_000)
        expectThat(workers.startsOf("lasting")).hasSize(1)
        expectThat(workers.logged("crashes-confirmed")).hasSize(1)
        expectThat(workers.phaseOf("lasting")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a job that fails as its later owners never clear it of its crashes (LOST).
    @Test
    fun `clears a suspect whose run outlives the crashed ones under the next owner`() {
        val workers = workersWithFifthRun()
        workers.takeOver(3)
        workers.run(10_000)
        expectThat(workers.recorded.getValue("lasting").crashes).isEmpty()
        repeat(2) {
            workers.crash(workers.nodesOf("lasting").single())
            while (workers.nodesOf("lasting").isEmpty()) workers.run(20)
        }
        workers.run(20_000)
        expectThat(workers.nodesOf("lasting")).hasSize(1)
        expectThat(workers.phaseOf("lasting")).isEqualTo(WorkflowPhase.RUNNING)
    }

    // Guards against a suspect that takes others with it.
    @Test
    fun `starts a suspect alone while other work goes on`() {
        val workers = workers(8)
        workers.deadly += "deadly"
        workers.submit("lasting", driver.taskStep(2).copy(isLongRunning = true))
        workers.run(3_000)
        workers.submit("deadly")
        var isAlone = true
        var others = 0
        repeat(100) { i ->
            workers.submit("job$i")
            workers.run(100) {
                val trials = workers.logged("trial-begun").size
                if (trials > 0) others++
            }
        }
        workers.run(20_000)
        val trials = workers.logged("trial-begun").filter { it.id == "deadly.0.0.0" }
        trials.forEach { if (it.fields["exposedRuns"] != 0) isAlone = false }
        expectThat(trials).isNotEmpty()
        expectThat(isAlone).isTrue()
        expectThat(others).isGreaterThan(0)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
        repeat(100) { i ->
            expectThat(workers.phaseOf("job$i")).isEqualTo(WorkflowPhase.COMPLETED)
        }
    }

    private companion object {
        /** A task may start twice after three workers have crashed under it. */
        const val MOST_STARTS = 5
    }
}
