/** Tests how many store writes the shard's document takes. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.record.JobState

class WriteBudgetTest {
    private val spec = JobSpec(1, Resources(1_000, 1_000), expectedMillis = 1_000)

    // Proves: resumed-once | cancellation-wave | task-running
    // Proves: one-place | cancellation-wave | task-running
    @Test
    fun `stops every task of a cancellation wave with a few writes`() {
        val shard = AnsweredShard(workers = 10)
        accept(shard, (0 until JOBS).associate { "job$it" to spec })
        shard.answerUntil { shard.runningTasks == 320 }
        val before = shard.writes
        repeat(JOBS) { shard.deliver(ShardEvent.CancelRequested(key("job$it"), 1, "cancelled")) }
        repeat(5) { shard.answerAll() }
        println("cancellations=$JOBS writes=${shard.writes - before}")
        expectThat(shard.writes - before).isLessThan(4)
        expectThat(shard.runningTasks).isEqualTo(0)
        val document = shard.snapshot.document
        val cancelled = (0 until JOBS).count {
            document.stateOf(key("job$it")) == JobState.CANCELLED
        }
        expectThat(cancelled).isEqualTo(JOBS)
        expectThat(shard.snapshot.document.print().length).isLessThan(1_000_000)
        val starts = shard.starts
        accept(shard, mapOf("job0" to spec), revision = 2)
        repeat(5) { shard.answerAll() }
        expectThat(shard.starts).isEqualTo(starts)
    }

    @Test
    fun `writes nothing per start of repeatable tasks and batches completions`() {
        val shard = AnsweredShard(workers = 100)
        accept(shard, mapOf("survey" to spec.copy(tasks = 6_400)))
        repeat(2) { round ->
            val before = shard.writes
            shard.answerUntil { shard.starts == (round + 1) * 3_200 }
            expectThat(shard.writes).isEqualTo(before)
            shard.finishAll()
            println("starts=3200 writes=${shard.writes - before}")
            expectThat(shard.writes - before).isLessThan(20)
        }
        expectThat(shard.snapshot.document.job(key("survey"))?.state)
            .isEqualTo(JobState.FINISHED)
    }

    private fun accept(shard: AnsweredShard, jobs: Map<String, JobSpec>, revision: Long = 1) {
        shard.deliver(ShardEvent.JobsListed("nets", revision, jobs))
        repeat(3) { shard.answerAll() }
    }

    private fun key(name: String) = JobKey("nets", name)

    private companion object {
        const val JOBS = 3_000
    }
}
