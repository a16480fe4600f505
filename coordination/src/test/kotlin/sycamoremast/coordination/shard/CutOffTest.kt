/** Tests a shard whose hosts have all lost their connection to the store. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import sycamoremast.coordination.Resources
import sycamoremast.coordination.lease.WorkerQuorum
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec

class CutOffTest {
    private val key = JobKey("team", "survey")

    // Proves: one-place | store-down | lease-held
    @Test
    fun `keeps tasks running while the store is unreachable`() {
        val spec = JobSpec(6, Resources(2_000, 2_000), expectedMillis = 12_000)
        val disturbed = countDisturbed(spec, maxStoreOutageMillis = 10_000)
        val baseline = countDisturbed(spec, maxStoreOutageMillis = 0)
        println("cut-off schedules=$SCHEDULES disturbed=$disturbed whenLeaseIsNeeded=$baseline")
        expectThat(disturbed).isEqualTo(0)
        expectThat(baseline).isGreaterThan(0)
    }

    private fun countDisturbed(spec: JobSpec, maxStoreOutageMillis: Long) =
        (1L..SCHEDULES).count { seed ->
            val schedule = Schedule(
                seed,
                chosenJobs = mapOf(key to spec),
                losesCalls = false,
                maxStoreOutageMillis = maxStoreOutageMillis
            ) { disconnectStoreAt(2_000, 9_000) }
            schedule.run()
            (0 until spec.tasks).any { schedule.runs(key.taskId(it)) != 1 }
        }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 8, 45, 1_000])
    fun `quorums of a successor and of a continuing owner always overlap`(workers: Int) {
        val quorum = WorkerQuorum(workers)
        expectThat(quorum.toContinue + quorum.toTakeOver).isEqualTo(workers + 1)
        expectThat(quorum.toContinue).isLessThan(workers + 1)
    }

    private companion object {
        const val SCHEDULES = 100L
    }
}
