package sycamoremast.daemon.batch

import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import sycamoremast.configuration.Job
import sycamoremast.coordination.record.DocumentSpace
import sycamoremast.coordination.record.EndedNames
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

class JobViewsTest {
    private val job = Job("survey", "Gauja", 3, milliCpus = 500, 100, expected = 1.seconds)

    @Test
    fun `rejects a job with more tasks than a document can hold`() {
        expectThat(DocumentSpace.sizeRejection(job.toRecord("nets"))).isEqualTo(null)
        val large = job.copy(tasks = 100_000).toRecord("nets")
        expectThat(DocumentSpace.sizeRejection(large)).isNotNull()
    }

    @Test
    fun `shows a configured job without a record in its final state`() {
        val id = ShardId("Gauja", 0)
        val room = DocumentSpace.of(ShardDocument(owner = "x".repeat(900_000)))
        val views = listOf(null, JobState.FINISHED, JobState.CANCELLED).map {
            val names = it?.let { state -> EndedNames.EMPTY.plus(mapOf(job.name to state)) }
            val ended = listOfNotNull(names).associateBy { "nets" }
            job.toListedJob(id, "nets", ShardDocument(ended = ended), room).recordedView()
        }
        expectThat(views.map { it.state }).isEqualTo(listOf("accepted", "finished", "cancelled"))
        expectThat(views.map { it.tasksFinished }).isEqualTo(listOf(0, 3, 0))
        expectThat(views.map { it.reason.isNotEmpty() }).isEqualTo(listOf(true, false, false))
    }
}
