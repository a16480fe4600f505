package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import sycamoremast.coordination.Resources

class PlacementOrderTest {
    private fun workflow(
        id: String,
        acceptedMillis: Long = NOW_MILLIS,
        tasks: Int = 8,
        doneTasks: Int = 0,
        priority: Int = 0,
        isLongRunning: Boolean = false
    ): OpenWorkflow {
        val step = WorkflowStep(
            tasks,
            Resources(1_000, 1_000),
            estimateMillis = 2_000,
            isLongRunning = isLongRunning
        )
        return open(id, step, acceptedMillis, priority).apply {
            steps().single().tasks.take(doneTasks).forEach { it.markDone() }
        }
    }

    private fun serving(id: String, image: String, maxPerWorker: Int): OpenWorkflow {
        val step = WorkflowStep(
            8,
            Resources(1_000, 1_000),
            isLongRunning = true,
            image = image,
            maxPerWorker = maxPerWorker
        )
        return open(id, step)
    }

    private fun open(
        id: String,
        step: WorkflowStep,
        acceptedMillis: Long = NOW_MILLIS,
        priority: Int = 0
    ): OpenWorkflow {
        val queue = QueuePolicy("queue$priority", "service", priority, targetLatencyMillis = 1_000)
        val spec = Workflow(id, queue, "", listOf(step), submittedMillis = acceptedMillis)
        return OpenWorkflow(spec, isRecovered = false, acceptedMillis)
            .apply { addOccurrence() }
    }

    private fun order(vararg workflows: OpenWorkflow) =
        PlacementOrder(NOW_MILLIS).sorted(workflows.toList()).map { it.id }

    @Test
    fun `workflows of a more urgent queue come first`() {
        val urgent = workflow("urgent", priority = 0)
        expectThat(order(workflow("other", priority = 2, doneTasks = 7), urgent))
            .containsExactly("urgent", "other")
    }

    @Test
    fun `long-running workflows come after others of their priority`() {
        expectThat(order(workflow("serving", isLongRunning = true), workflow("short")))
            .containsExactly("short", "serving")
    }

    @Test
    fun `workflows that can be on time come before late ones`() {
        val late = workflow("late", acceptedMillis = NOW_MILLIS - 5_000)
        val overdue = workflow("overdue", acceptedMillis = NOW_MILLIS - 60_000)
        expectThat(order(overdue, late, workflow("fresh")))
            .containsExactly("fresh", "late", "overdue")
    }

    @Test
    fun `nearly completed workflows come before fresh ones`() {
        expectThat(order(workflow("fresh"), workflow("nearlyDone", doneTasks = 6)))
            .containsExactly("nearlyDone", "fresh")
    }

    @Test
    fun `a late workflow that lacks one task does not wait for fresh ones`() {
        val late = workflow("late", acceptedMillis = NOW_MILLIS - 5_000, tasks = 16, doneTasks = 15)
        expectThat(order(workflow("fresh"), late)).containsExactly("late", "fresh")
    }

    @Test
    fun `serving workflows of an image that have to spread come before others of it`() {
        val workflows = arrayOf(
            serving("packed", "a", 0),
            serving("other image", "b", 0),
            serving("two a worker", "a", 2),
            serving("one a worker", "a", 1)
        )
        expectThat(order(*workflows))
            .containsExactly("one a worker", "two a worker", "packed", "other image")
    }

    private companion object {
        const val NOW_MILLIS = 100_000L
    }
}
