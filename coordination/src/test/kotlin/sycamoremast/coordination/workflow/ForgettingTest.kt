package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import sycamoremast.coordination.workflow.SuccessionFault.CUT_HOST_FROM_STORE
import sycamoremast.coordination.workflow.SuccessionFault.CUT_HOST_FROM_WORKER
import sycamoremast.coordination.workflow.SuccessionFault.CUT_WORKER
import sycamoremast.coordination.workflow.SuccessionFault.FREEZE_HOST
import sycamoremast.coordination.workflow.SuccessionFault.KILL_ALL_HOSTS
import sycamoremast.coordination.workflow.SuccessionFault.KILL_HOST
import sycamoremast.coordination.workflow.SuccessionFault.RESTART_ALL
import sycamoremast.coordination.workflow.SuccessionFault.REVOKE_KEY
import sycamoremast.coordination.workflow.SuccessionFault.STOP_HOST
import sycamoremast.coordination.workflow.SuccessionFault.STORE_OUTAGE

/**
 * Takeovers while records of ended workflows are deleted: deletions are lost, late or done twice,
 * and owners are killed or cut off between forming and writing them.
 */
class ForgettingTest {
    private fun play(
        seed: Long,
        kinds: Set<SuccessionFault>,
        bug: PlantedForgettingBug? = null,
        workLagMillis: Long = 0,
        lateCalls: Double = LATE_CALLS,
        lostAnswers: Double = LOST_ANSWERS
    ) = SuccessionSchedule(
        seed,
        SuccessionFaults(
            kinds,
            lateCalls,
            lostAnswers,
            hostClockError = 20,
            forgetsSoon = true,
            plantedBug = bug,
            workLagMillis = workLagMillis
        )
    ).apply { play() }

    private fun expectNoViolations(
        seeds: LongRange,
        vararg kinds: SuccessionFault,
        workLagMillis: Long = 0
    ) {
        for (seed in seeds) {
            val schedule = play(seed, kinds.toSet(), workLagMillis = workLagMillis)
            expectThat(schedule.violations).describedAs("seed $seed").isEmpty()
            expectThat(
                schedule.forgetting.forgotten
            ).describedAs("seed $seed").isGreaterThan(FEWEST_FORGOTTEN)
        }
    }

    @Test
    fun `forgets ended workflows while nothing fails`() {
        val schedule = play(1, emptySet(), lateCalls = 0.0, lostAnswers = 0.0)
        expectThat(schedule.violations).isEmpty()
        expectThat(schedule.forgetting.forgotten).isGreaterThan(90)
        expectThat(schedule.forgetting.usedAgain).isGreaterThan(5)
    }

    // Guards against records that are lost, and tasks that run again, as an owner is replaced while
    // it deletes (LOST, TWICE).
    @Test
    fun `keeps each record for its time while owners are killed`() =
        expectNoViolations(1L..12, KILL_HOST, KILL_ALL_HOSTS, REVOKE_KEY)

    @Test
    fun `keeps each record for its time while owners are cut off and frozen`() = expectNoViolations(
        1L..12,
        CUT_HOST_FROM_STORE,
        CUT_HOST_FROM_WORKER,
        FREEZE_HOST,
        REVOKE_KEY
    )

    @Test
    fun `keeps each record for its time while the store is away`() =
        expectNoViolations(1L..12, STORE_OUTAGE, KILL_HOST, CUT_WORKER)

    @Test
    fun `keeps each record for its time while hosts are restarted in turn`() =
        expectNoViolations(1L..12, RESTART_ALL, STOP_HOST, CUT_HOST_FROM_STORE)

    // Guards against a second run of a workflow that the changes report late as new (TWICE).
    @Test
    fun `keeps each record for its time while owners learn late of changes`() =
        expectNoViolations(1L..12, KILL_HOST, REVOKE_KEY, workLagMillis = LAG_MILLIS)

    @ParameterizedTest
    @EnumSource
    internal fun `a planted bug is found`(bug: PlantedForgettingBug) {
        val isAboutChanges = bug == PlantedForgettingBug.FORGETS_UNSEEN_DELETIONS
        val lagMillis = if (isAboutChanges) LAG_MILLIS else 0
        // A process that starts anew has no changes to see.
        val kinds = setOf(KILL_HOST, KILL_ALL_HOSTS, REVOKE_KEY)
            .filterTo(HashSet()) { !isAboutChanges || it == REVOKE_KEY }
        val found = (1L..40).flatMap { play(it, kinds, bug, lagMillis).violations }
        expectThat(found).describedAs(bug.text).isNotEmpty()
    }

    private companion object {
        const val FEWEST_FORGOTTEN = 10
        const val LATE_CALLS = 0.03
        const val LOST_ANSWERS = 0.05

        /** Longer than workflows run and are kept. */
        const val LAG_MILLIS = 6_000L
    }
}
