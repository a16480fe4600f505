package sycamoremast.integration

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import sycamoremast.coordination.TaskPhase
import sycamoremast.standins.RunRecord

class RunAssertionsTest {
    private fun run(task: Int, start: Long, end: Long?, phase: TaskPhase) =
        RunRecord("worker-$start", "bktib/survey/$task", 1, 1, start, start, end, phase)

    private val stopped = run(0, 10, 20, TaskPhase.STOPPED)
    private val resumed = run(0, 20, 30, TaskPhase.FINISHED)
    private val other = run(1, 10, 15, TaskPhase.FINISHED)

    @Test
    fun `accepts a task that is stopped, resumed and finished once`() {
        expectFinishedOnce(listOf(resumed, stopped, other), "survey", tasks = 2)
    }

    @Test
    fun `rejects a task that overlaps, finishes twice or is lost`() {
        val twoPlaces = listOf(run(0, 10, null, TaskPhase.RUNNING), resumed, other)
        val twice = listOf(run(0, 10, 20, TaskPhase.FINISHED), resumed, other)
        val lost = listOf(stopped, other)
        for (runs in listOf(twoPlaces, twice, lost)) {
            assertThrows<AssertionError> { expectFinishedOnce(runs, "survey", tasks = 2) }
        }
    }
}
