/** Measures the start delay of urgent tasks on a full shard, including crashes of its owner. */
package sycamoremast.coordination.shard

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec

class UrgentStartTest {
    private val filler = JobSpec(12, Resources(1_000, 1_000), expectedMillis = 8_000)
    private val urgent = JobSpec(2, Resources(3_000, 3_000), expectedMillis = 500, urgent = true)

    internal enum class Disruption {
        CALM,
        OWNER_DIES,
        PREFERRED_OWNER_DIES,
        HANDED_OVER,
        HANDED_OVER_TO_THE_DEAD
    }

    @ParameterizedTest
    @EnumSource(Disruption::class)
    internal fun `starts an urgent job within its bound on a full shard`(disruption: Disruption) {
        val key = JobKey("team", "urgent")
        val delays = (1L..SCHEDULES).flatMap { seed ->
            val jobs = mapOf(JobKey("team", "filler") to filler)
            val schedule = Schedule(seed, chosenJobs = jobs) {
                submitAt(SUBMITTED_MILLIS, key, urgent)
                disrupt(disruption, SUBMITTED_MILLIS + seed % 500)
            }
            schedule.run()
            (0 until urgent.tasks).map { schedule.startedMillis(key.taskId(it)) ?: error("$seed") }
        }.map { it - SUBMITTED_MILLIS }.sorted()
        println(
            "urgent-start case=$disruption p50=${delays[delays.size / 2]} max=${delays.last()}"
        )
        expectThat(delays.lastOrNull()).isNotNull().isLessThan(BOUND_MILLIS)
    }

    private fun Schedule.disrupt(disruption: Disruption, atMillis: Long) = when (disruption) {
        Disruption.CALM -> Unit

        Disruption.OWNER_DIES -> killOwnerAt(atMillis)

        Disruption.PREFERRED_OWNER_DIES -> {
            preferOwnerAt(SUBMITTED_MILLIS / 2)
            killOwnerAt(atMillis)
        }

        Disruption.HANDED_OVER -> handOverAt(atMillis)

        Disruption.HANDED_OVER_TO_THE_DEAD -> {
            killStandbyAt(atMillis - 1)
            handOverAt(atMillis)
        }
    }

    private companion object {
        const val SCHEDULES = 200L
        const val SUBMITTED_MILLIS = 4_000L
        const val BOUND_MILLIS = 6_900L
    }
}
