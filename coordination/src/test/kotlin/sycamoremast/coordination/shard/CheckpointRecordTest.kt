/** Tests that recorded checkpoints survive the simultaneous loss of a task's owner and worker. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec

class CheckpointRecordTest {
    private val spec = JobSpec(1, Resources(1_000, 1_000), expectedMillis = 12_000)

    // Proves: resumed-once | kill | task-running
    @Test
    fun `resumes a task from its recorded checkpoint after owner and worker crash together`() {
        for (seed in 1L..20L) {
            val jobs = mapOf(JobKey("team", "survey") to spec)
            val schedule = Schedule(
                seed,
                chosenJobs = jobs,
                losesCalls = false,
                checkpointPeriodMillis = Schedule.CHECKPOINT_PERIOD_MILLIS
            ) {
                killOwnerAt(10_000)
                crashWorkersAt(10_000)
            }
            schedule.run()
            expectThat(schedule.resumedFromMillis("team/survey/0")).isNotNull()
                .isGreaterThan(3_000L)
        }
    }

    @Test
    fun `batches the checkpoints of all tasks into few writes`() {
        val shard = AnsweredShard(workers = 100, reportsCheckpoints = true)
        val job = spec.copy(tasks = RUNNING, expectedMillis = 3_600_000)
        shard.deliver(ShardEvent.JobsListed("nets", 1, mapOf("survey" to job)))
        shard.answerUntil { shard.starts == RUNNING }
        val before = shard.writes
        repeat(HEARTBEATS) { shard.answerAll(millis = 500) }
        println(
            "running=$RUNNING heartbeats=$HEARTBEATS writes=${shard.writes - before} " +
                "bytes=${shard.largestWrite}"
        )
        expectThat(shard.writes - before).isIn(2..HEARTBEATS / 100)
    }

    private companion object {
        const val HEARTBEATS = 600

        /** Three quarters of the tasks that fit on the workers, the limit for long-running work. */
        const val RUNNING = 2_400
    }
}
