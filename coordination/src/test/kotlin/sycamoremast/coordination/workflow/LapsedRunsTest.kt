package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Tests of the log of long-running tasks whose runs have lapsed. */
class LapsedRunsTest {
    private val driver = SchedulerDriver(epoch = 2)

    /** Lists w1 to w3 with two tasks each, of which an earlier owner has started run 1. */
    private fun beginAfterEarlierOwner(isLongRunning: Boolean) {
        driver.listWorkers("w1", "w2", "w3")
        val step = driver.taskStep(count = 6).copy(isLongRunning = isLongRunning)
        driver.submit(driver.workflow("job", step), isRecovered = true)
    }

    private fun lapsed(worker: String): List<EndedRow> {
        val first = 2 * (worker.removePrefix("w").toInt() - 1)
        return (0..1).map {
            EndedRow(it + 1L, TaskName("job", 0, 0, first + it), 1, RunEnd.LAPSED, "")
        }
    }

    /** Returns what is logged within [millis] in which each first poll reports lapsed runs. */
    private fun eventsWithin(millis: Long): List<SchedulerEvent> = buildList {
        val until = driver.now + millis
        while (driver.now < until) {
            driver.step()
            addAll(driver.actions.filterIsInstance<SchedulerAction.Log>().map { it.event })
            driver.polls.forEach { driver.report(it, ended = lapsed(it.worker.id)) }
        }
    }.filter { it.name == "runs-lapsed" }

    // Guards against an outage that ends all long-running runs without a line about it (issue 49).
    @Test
    fun `logs how many long-running runs of an earlier owner have lapsed`() {
        beginAfterEarlierOwner(isLongRunning = true)
        val events = eventsWithin(5_000)
        expectThat(events.sumOf { it.fields["longRunningRuns"] as Int }).isEqualTo(6)
        expectThat(events.sumOf { it.fields["unknownRuns"] as Int }).isEqualTo(6)
        expectThat(events.sumOf { it.fields["workers"] as Int }).isEqualTo(3)
    }

    @Test
    fun `logs at most a line a second`() {
        beginAfterEarlierOwner(isLongRunning = true)
        expectThat(eventsWithin(900).size).isEqualTo(1)
    }

    @Test
    fun `logs nothing for short tasks`() {
        beginAfterEarlierOwner(isLongRunning = false)
        expectThat(eventsWithin(5_000)).isEmpty()
    }
}
