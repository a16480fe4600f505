/** Tests a shard that gets more jobs than fit into its document. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.record.JobState

class DocumentBoundTest {
    private val spec = JobSpec(1, Resources(1_000, 1_000), expectedMillis = 1_000)
    private val shard = AnsweredShard(workers = 100)

    @Test
    fun `holds back jobs beyond the document's size limit and runs each of them once`() {
        list("nets", JOBS)
        expectThat(shard.snapshot.heldBack).isGreaterThan(0)
        list("weirs", 1)
        expectThat(shard.snapshot.document.job(JobKey("weirs", "job0"))?.state)
            .isEqualTo(JobState.ACCEPTED)
        repeat(JOBS / 100) {
            if (shard.starts <= JOBS) shard.finishAll()
        }
        println("jobs=$JOBS largestWrite=${shard.largestWrite} writes=${shard.writes}")
        expectThat(shard.starts).isEqualTo(JOBS + 1)
        expectThat(shard.snapshot.heldBack).isEqualTo(0)
        expectThat(shard.largestWrite).isLessThan(MAX_BYTES)
    }

    @Test
    fun `keeps the document within its size limit when held-back jobs are cancelled`() {
        list("nets", JOBS)
        repeat(JOBS) {
            val key = JobKey("nets", "job$it")
            shard.deliver(ShardEvent.CancelRequested(key, 1, "cancelled"))
        }
        repeat(4) { shard.finishAll() }
        expectThat(shard.snapshot.heldBack).isEqualTo(0)
        expectThat(shard.runningTasks).isEqualTo(0)
        expectThat(shard.largestWrite).isLessThan(MAX_BYTES)
    }

    private fun list(team: String, jobs: Int) {
        val specs = (0 until jobs).associate { "job$it" to spec }
        shard.deliver(ShardEvent.JobsListed(team, 1, specs))
        repeat(3) { shard.answerAll() }
    }

    private companion object {
        const val JOBS = 8_000
        const val MAX_BYTES = 900_000
    }
}
