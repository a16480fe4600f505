/** Tests the order of waiting jobs and the limits on their resources. */
package sycamoremast.coordination.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobSpec

class QueuePolicyTest {
    private val shares = HeldShares(Resources(100_000, 100_000, 1))
    private val small = Resources(1_000, 1_000)

    @Test
    fun `urgent jobs go first, then the team with the smallest share of its quota`() {
        shares.setQuota("nets", Resources(50_000, 50_000))
        shares.setQuota("fish", Resources(10_000, 10_000))
        shares.hold("nets", Resources(10_000, 1_000), isLong = false)
        shares.hold("fish", Resources(1_000, 3_000), isLong = false)
        expectThat(first(job("nets"), job("fish")).team).isEqualTo("nets")
        expectThat(first(job("nets"), job("fish", isUrgent = true)).team).isEqualTo("fish")
    }

    @Test
    fun `short jobs overtake a long one until it has waited long enough`() {
        val long = job("nets", expectedMillis = DAY_MILLIS, waitedMillis = 60_000)
        val short = job("nets", expectedMillis = 1_000, waitedMillis = 500)
        expectThat(first(long, short)).isEqualTo(short)
        val newShort = short.copy(waitedMillis = 0)
        expectThat(first(long, newShort)).isEqualTo(long)
    }

    @Test
    fun `long tasks leave a share of the capacity to short ones`() {
        val long = job("nets", expectedMillis = DAY_MILLIS).copy(need = Resources(25_000, 1_000))
        repeat(3) {
            expectThat(shares.admits(long)).isTrue()
            shares.hold("nets", long.need, isLong = true)
        }
        expectThat(shares.admits(long)).isFalse()
        expectThat(shares.admits(job("nets"))).isTrue()
        shares.release("nets", long.need, isLong = true)
        expectThat(shares.admits(long)).isTrue()
    }

    @Test
    fun `rejects tasks beyond the quota of a team`() {
        shares.setQuota("nets", Resources(2_000, 9_000))
        repeat(2) {
            expectThat(shares.admits(job("nets"))).isTrue()
            shares.hold("nets", small, isLong = false)
        }
        expectThat(shares.admits(job("nets"))).isFalse()
        expectThat(shares.admits(job("fish"))).isTrue()
    }

    @Test
    fun `measured runs outweigh a wrong declaration, and a run in progress raises the estimate`() {
        val estimate = (1..9).fold(ExpectedRunTime(100_000)) { time, _ -> time.withRun(1_000) }
        expectThat(estimate.millis).isEqualTo(10_900)
        expectThat(estimate.withRunInProgress(50_000).millis).isEqualTo(50_000)
    }

    // Proves: capacity | never-runnable | task-accepted
    @Test
    fun `returns the reason why a job can never run`() {
        val spec = JobSpec(1, Resources(4_000, 2_000, 1), expectedMillis = 1)
        val tooSmall = listOf(Resources(64_000, 2_000), Resources(32_000, 64_000))
        val reason = "no worker has that, the largest being 64000 mCPU, 2000 MiB"
        expectThat(whyNeverFits(spec, tooSmall, null)).isNotNull().contains(reason)
        val sufficient = tooSmall + Resources(4_000, 2_000, 1)
        expectThat(whyNeverFits(spec, sufficient, null)).isNull()
        expectThat(whyNeverFits(spec, emptyList(), null)).isNull()
        expectThat(whyNeverFits(spec, sufficient, Resources(3_000, 9_000, 9))).isNotNull()
            .contains("more than the team's quota")
    }

    private fun first(vararg jobs: WaitingJob) =
        jobs.toList().sortedWith(queueOrder(shares)).first()

    private fun job(
        team: String,
        expectedMillis: Long = 1_000,
        waitedMillis: Long = 0,
        isUrgent: Boolean = false
    ) = WaitingJob(team, small, isUrgent, expectedMillis, waitedMillis)

    private companion object {
        const val DAY_MILLIS = 86_400_000L
    }
}
