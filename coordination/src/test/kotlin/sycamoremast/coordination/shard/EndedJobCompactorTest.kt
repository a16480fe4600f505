/** Tests the space that ended jobs take in the shard's document. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobSpec

class EndedJobCompactorTest {
    private val spec = JobSpec(1, Resources(1_000, 1_000), expectedMillis = 1_000)

    @Test
    fun `keeps a few bytes for each ended job and runs none of them again`() {
        val shard = AnsweredShard(workers = 10)
        val bytes = (1..BATCHES).map { batch ->
            run(shard, batch)
            shard.snapshot.document.print().length
        }
        val perJob = (bytes.last() - bytes[bytes.size / 2]) / (BATCH * BATCHES / 2)
        println(
            "jobs=${BATCH * BATCHES} bytes=${bytes.last()} perJob=$perJob writes=${shard.writes}"
        )
        expectThat(perJob).isLessThan(MAX_BYTES_PER_JOB)
        val starts = shard.starts
        list(shard, BATCHES + 1, 0 until BATCH * BATCHES)
        expectThat(shard.starts).isEqualTo(starts)
    }

    private fun run(shard: AnsweredShard, batch: Int) {
        val first = (batch - 1) * BATCH
        list(shard, batch, first until first + BATCH)
        shard.answerUntil { shard.starts == batch * BATCH }
        shard.finishAll()
    }

    private fun list(shard: AnsweredShard, revision: Int, jobs: IntRange) {
        val specs = jobs.associate { "survey-$it" to spec }
        shard.deliver(ShardEvent.JobsListed("nets", revision.toLong(), specs))
        repeat(3) { shard.answerAll() }
    }

    private companion object {
        const val BATCH = 300
        const val BATCHES = 20
        const val MAX_BYTES_PER_JOB = 16
    }
}
