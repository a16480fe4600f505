/** How soon urgent work starts on a full shard, also through the death of its owner. */
package sycamoremast.coordination.shard

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec

class UrgentStartTest {
    private val filler = JobSpec(12, Resources(1_000, 1_000), expectedMillis = 8_000)
    private val urgent = JobSpec(2, Resources(3_000, 3_000), expectedMillis = 500, urgent = true)

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `an urgent job starts within its bound on a full shard`(ownerDies: Boolean) {
        val key = JobKey("team", "urgent")
        val delays = (1L..SCHEDULES).flatMap { seed ->
            val jobs = mapOf(JobKey("team", "filler") to filler)
            val schedule = Schedule(seed, chosenJobs = jobs) {
                submitAt(SUBMITTED_MILLIS, key, urgent)
                if (ownerDies) killOwnerAt(SUBMITTED_MILLIS + seed % 500)
            }
            schedule.run()
            (0 until urgent.tasks).map { schedule.startedMillis(key.taskId(it)) ?: error("$seed") }
        }.map { it - SUBMITTED_MILLIS }.sorted()
        println(
            "urgent-start ownerDies=$ownerDies p50=${delays[delays.size / 2]} max=${delays.last()}"
        )
        expectThat(delays.lastOrNull()).isNotNull().isLessThan(BOUND_MILLIS)
    }

    private companion object {
        const val SCHEDULES = 200L
        const val SUBMITTED_MILLIS = 4_000L
        const val BOUND_MILLIS = 6_900L
    }
}
