/** Tests hand-overs of a shard while its tasks are running. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import strikt.assertions.none
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.record.JobState

class HandOverTest {
    private val survey = JobKey("team", "survey")
    private val invoice = JobKey("team", "invoice")
    private val jobs = mapOf(
        survey to JobSpec(5, Resources(1_000, 1_000), expectedMillis = 5_000),
        invoice to JobSpec(40, Resources(1_500, 1_500), expectedMillis = 100, neverRepeat = true)
    )

    // Proves: one-place | planned-stop | task-placing
    // Proves: resumed-once | planned-stop | task-placing
    @Test
    fun `hands the shard over to the preferred host at any moment without disturbing a task`() {
        val gaps = (1L..SCHEDULES).map { seed ->
            val schedule = Schedule(seed, chosenJobs = jobs, losesCalls = false) {
                handOverAt(FIRST_START_MILLIS + seed * MOMENT_STEP_MILLIS)
            }
            schedule.run()
            for ((key, spec) in jobs) {
                expectThat(schedule.checker.stateOf(key)).describedAs("$key, seed $seed")
                    .isEqualTo(JobState.FINISHED)
                expectThat((0 until spec.tasks).map { schedule.runs(key.taskId(it)) })
                    .describedAs("runs of $key, seed $seed").isEqualTo(List(spec.tasks) { 1 })
            }
            expectThat(schedule.store.committed.owner).isEqualTo(schedule.handedTo)
            expectThat(schedule.takeOvers).describedAs("seed $seed").isEqualTo(2)
            schedule.ownerlessMillis
        }.sorted()
        println("hand-over gap p50=${gaps[gaps.size / 2]} max=${gaps.last()}")
        expectThat(gaps.first()).isGreaterThan(0)
    }

    @Test
    fun `does not give up the shard while a start or a write is in flight`() {
        val requests = listOf(ShardEvent.HandOverRequested, ShardEvent.ReleaseRequested)
        for ((answers, request) in (0..MAX_ANSWERS).flatMap { n -> requests.map { n to it } }) {
            val shard = AnsweredShard(workers = 2)
            shard.deliver(ShardEvent.JobsListed("team", 1, jobs.mapKeys { it.key.name }))
            repeat(answers) { shard.answerOne() }
            shard.deliver(request)
            while (shard.snapshot.isOwner) {
                shard.answerOne()
                shard.deliver(ShardEvent.Tick)
            }
            expectThat(
                shard.undeliveredAnswers
            ).describedAs("$request after $answers answers").none {
                get { this is ShardEvent.Started || this is ShardEvent.DocumentWritten }.isTrue()
            }
        }
    }

    private companion object {
        const val MAX_ANSWERS = 60
        const val SCHEDULES = 200L
        const val FIRST_START_MILLIS = 50L
        const val MOMENT_STEP_MILLIS = 12L
    }
}
