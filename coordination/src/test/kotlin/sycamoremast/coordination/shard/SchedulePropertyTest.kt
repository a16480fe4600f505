/** Tests a shard's invariants under random fault schedules, and that planted bugs are detected. */
package sycamoremast.coordination.shard

import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull

class SchedulePropertyTest {
    // Proves: capacity, one-place, resumed-once | kill, freeze, slow | task-placing, task-running
    // Proves: capacity, one-place, resumed-once | cut-both-ways, store-down | task-placing
    // Proves: capacity, one-place, resumed-once | cut-both-ways, store-down | task-running
    // Proves: capacity, one-place, resumed-once | answer-lost | task-placing, task-running
    // Proves: capacity, one-place, resumed-once | lease-lapsed-in-pause | task-placing, task-running
    // Proves: one-place, resumed-once | kill | lease-granting, lease-held, lease-renewing
    // Proves: one-place, resumed-once | store-down | lease-granting, lease-held, lease-renewing
    // Proves: one-place, resumed-once | answer-lost | lease-granting, lease-held, lease-renewing
    // Proves: one-place, resumed-once | lease-lapsed-in-pause | lease-granting, lease-held
    // Proves: one-place, resumed-once | lease-lapsed-in-pause | lease-renewing
    // Proves: resumed-once | kill, store-down, answer-lost, cut-both-ways | task-finishing
    @Test
    fun `keeps all invariants under random faults`() {
        val violation = firstViolation(1L..SCHEDULES, emptySet())
        expectThat(violation?.message).isEqualTo(null)
    }

    // Proves: one-place | planned-stop | task-running
    // Proves: resumed-once | planned-stop | task-running
    @Test
    fun `keeps all invariants under random faults and hand-overs`() {
        val violation = firstViolation(1L..SCHEDULES_PER_BUG, emptySet()) {
            injectRandomFaults()
            val random = Random(it)
            repeat(HAND_OVERS) { handOverAt(random.nextLong(LAST_HAND_OVER_MILLIS)) }
        }
        expectThat(violation?.message).isEqualTo(null)
    }

    @ParameterizedTest
    @EnumSource(PlantedBug::class)
    internal fun `detects each planted bug`(bug: PlantedBug) {
        val violation = firstViolation(1L..SCHEDULES_PER_BUG, setOf(bug))
        println("planted=$bug caught=${violation?.message}")
        expectThat(violation).isNotNull()
    }

    @Test
    fun `covers takeovers and worker crashes`() {
        val schedules = (1L..SCHEDULES_SAMPLED).map { seed -> Schedule(seed).also { it.run() } }
        expectThat(schedules.count { it.takeOvers > 1 }).isGreaterThan(schedules.size / 4)
        expectThat(schedules.count { it.workerCrashes > 0 }).isGreaterThan(schedules.size / 4)
    }

    private fun firstViolation(
        seeds: LongRange,
        bugs: Set<PlantedBug>,
        faults: Schedule.(seed: Long) -> Unit = { injectRandomFaults() }
    ): Throwable? {
        val pool = Executors.newFixedThreadPool(THREADS)
        try {
            val parts = (0 until THREADS).map { part ->
                pool.submit<Throwable?> {
                    seeds.filter { it % THREADS == part.toLong() }.firstNotNullOfOrNull {
                        violation(it, bugs, faults)
                    }
                }
            }
            return parts.map(Future<Throwable?>::get).firstOrNull { it != null }
        } finally {
            pool.shutdownNow()
        }
    }

    private fun violation(
        seed: Long,
        bugs: Set<PlantedBug>,
        faults: Schedule.(seed: Long) -> Unit
    ): Throwable? = try {
        Schedule(seed, bugs) { faults(seed) }.run()
        null
    } catch (e: InvariantViolation) {
        e
    }

    private companion object {
        const val SCHEDULES = 10_000L
        const val SCHEDULES_PER_BUG = 2_000L
        const val SCHEDULES_SAMPLED = 200L
        const val THREADS = 3
        const val HAND_OVERS = 3
        const val LAST_HAND_OVER_MILLIS = 15_000L
    }
}
