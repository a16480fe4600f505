/** The promises of a shard under random fault schedules, and that the checker finds planted bugs. */
package sycamoremast.coordination.shard

import java.util.concurrent.Executors
import java.util.concurrent.Future
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull

class SchedulePropertyTest {
    @Test
    fun `no schedule of faults breaks a promise`() {
        val broken = firstBroken(1L..SCHEDULES, emptySet())
        expectThat(broken?.message).isEqualTo(null)
    }

    @ParameterizedTest
    @EnumSource(PlantedBug::class)
    internal fun `the checker finds each planted bug`(bug: PlantedBug) {
        val broken = firstBroken(1L..SCHEDULES_PER_BUG, setOf(bug))
        expectThat(broken).isNotNull()
    }

    @Test
    fun `the schedules take shards over and lose workers`() {
        val schedules = (1L..SCHEDULES_SAMPLED).map { seed -> Schedule(seed).also { it.run() } }
        expectThat(schedules.count { it.takeOvers > 1 }).isGreaterThan(schedules.size / 4)
        expectThat(schedules.count { it.workerCrashes > 0 }).isGreaterThan(schedules.size / 4)
    }

    private fun firstBroken(seeds: LongRange, bugs: Set<PlantedBug>): Throwable? {
        val pool = Executors.newFixedThreadPool(THREADS)
        try {
            val parts = (0 until THREADS).map { part ->
                pool.submit<Throwable?> {
                    seeds.filter { it % THREADS == part.toLong() }.firstNotNullOfOrNull {
                        broken(it, bugs)
                    }
                }
            }
            return parts.map(Future<Throwable?>::get).firstOrNull { it != null }
        } finally {
            pool.shutdownNow()
        }
    }

    private fun broken(seed: Long, bugs: Set<PlantedBug>): Throwable? = try {
        Schedule(seed, bugs).run()
        null
    } catch (e: BrokenPromise) {
        e
    }

    private companion object {
        const val SCHEDULES = 10_000L
        const val SCHEDULES_PER_BUG = 2_000L
        const val SCHEDULES_SAMPLED = 200L
        const val THREADS = 3
    }
}
