package sycamoremast.daemon.batch

import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import sycamoremast.configuration.Job
import sycamoremast.coordination.record.EndedNames
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

class JobViewsTest {
    private val job = Job("survey", "Gauja", 3, milliCpus = 500, 100, expected = 1.seconds)

    @Test
    fun `a configured job whose record is gone is shown in its final state`() {
        val id = ShardId("Gauja", 0)
        val views = listOf(null, JobState.FINISHED, JobState.CANCELLED).map {
            val names = it?.let { state -> EndedNames.EMPTY.plus(mapOf(job.name to state)) }
            val ended = listOfNotNull(names).associateBy { "nets" }
            job.listed(id, "nets", ShardDocument(ended = ended)).recorded()
        }
        expectThat(views.map { it.state }).isEqualTo(listOf("accepted", "finished", "cancelled"))
        expectThat(views.map { it.tasksFinished }).isEqualTo(listOf(0, 3, 0))
    }
}
