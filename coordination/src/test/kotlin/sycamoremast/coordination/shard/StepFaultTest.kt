/** Injects every fault, and likely pairs of faults, at every step of a task and of a lease. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec

class StepFaultTest {
    private val pairs = listOf(
        listOf(StepFault.KILL, StepFault.STORE_DOWN),
        listOf(StepFault.CUT_BOTH_WAYS, StepFault.OPERATOR_RACE),
        listOf(StepFault.FREEZE, StepFault.LEASE_LAPSED_IN_PAUSE)
    )
    private val urgent = JobSpec(2, Resources(3_000, 3_000), expectedMillis = 500, urgent = true)
    private val jobs = mapOf(
        JobKey("team", "filler") to JobSpec(12, Resources(1_000, 1_000), expectedMillis = 3_000),
        JobKey("team", "invoice") to
            JobSpec(2, Resources(500, 500), expectedMillis = 500, neverRepeat = true)
    )

    // Proves: capacity, one-place, resumed-once | kill, freeze, cut-both-ways, cut-one-way | task-*
    // Proves: capacity, one-place, resumed-once | slow, reset, store-down, store-slow | task-*
    // Proves: capacity, one-place, resumed-once | answer-lost, lease-lapsed-in-pause | task-*
    // Proves: capacity, one-place, resumed-once | operator-race, wrong-sizes | task-*
    // Proves: capacity, one-place, resumed-once | cancellation-wave, worker-failing | task-*
    // Proves: capacity, one-place, resumed-once | planned-stop, kill + store-down | task-*
    // Proves: capacity, one-place, resumed-once | cut-both-ways + operator-race | task-*
    // Proves: capacity, one-place, resumed-once | freeze + lease-lapsed-in-pause | task-*
    // Proves: one-place, resumed-once | kill, freeze, cut-both-ways, cut-one-way, slow | lease-*
    // Proves: one-place, resumed-once | reset, store-down, store-slow, answer-lost | lease-*
    // Proves: one-place, resumed-once | lease-lapsed-in-pause, operator-race, wrong-sizes | lease-*
    // Proves: one-place, resumed-once | cancellation-wave, worker-failing, planned-stop | lease-*
    // Proves: one-place, resumed-once | kill + store-down, cut-both-ways + operator-race | lease-*
    // Proves: one-place, resumed-once | freeze + lease-lapsed-in-pause | lease-*
    @Test
    fun `keeps all invariants when faults hit any step`() {
        val violations = mutableListOf<String>()
        val hitsByCell = mutableMapOf<String, Int>()
        for (faults in StepFault.entries.map(::listOf) + pairs) {
            for (step in Step.entries) {
                val outcomes = (1L..SCHEDULES).map { seed -> outcome(seed, faults, step) }
                violations += outcomes.mapNotNull { it.second }.take(1)
                hitsByCell["$faults at $step"] = outcomes.count { it.first }
            }
        }
        println("step-faults cells=${hitsByCell.size} fewest=${hitsByCell.minBy { it.value }}")
        expectThat(violations).isEmpty()
        expectThat(hitsByCell.filterValues { it == 0 }).isEmpty()
    }

    /** Returns whether [faults] were injected at [step], and the violated invariant, if any. */
    private fun outcome(seed: Long, faults: List<StepFault>, step: Step): Pair<Boolean, String?> {
        val injection = FaultInjection(faults, step, count = 1 + (seed % MAX_STEP_COUNT).toInt())
        val schedule = Schedule(seed, chosenJobs = jobs, injection = injection) {
            submitAt(SUBMITTED_MILLIS, JobKey("team", "urgent"), urgent)
            releaseOwnerAt(RELEASED_MILLIS)
        }
        return try {
            schedule.run()
            injection.hasFired to null
        } catch (e: InvariantViolation) {
            injection.hasFired to "$faults at $step: ${e.message}"
        }
    }

    private companion object {
        const val SCHEDULES = 40L
        const val MAX_STEP_COUNT = 3L
        const val SUBMITTED_MILLIS = 2_000L
        const val RELEASED_MILLIS = 4_000L
    }
}
