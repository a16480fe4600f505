package sycamoremast.daemon.batch

import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.coordination.Resources

class TeamSharesTest {
    @Test
    fun `divides a quota evenly among the shards that have jobs of the team`() {
        val jobs = listOf(job("survey", "Gauja", 500), job("tally", "Sigulda", 500))
        val quotas = BatchSettings().quotaByShard(team(jobs))
        expectThat(quotas).hasSize(2)
        expectThat(quotas.values.toSet()).isEqualTo(setOf(Resources(5_000, 4_000, 0)))
    }

    @Test
    fun `a shard's quota suffices for one task of its largest job`() {
        val jobs = listOf(job("survey", "Gauja", 9_000), job("tally", "Sigulda", 500))
        val quotas = BatchSettings().quotaByShard(team(jobs))
        expectThat(quotas[ShardId("Gauja", 0)]).isEqualTo(Resources(9_000, 4_000, 0))
    }

    private fun team(jobs: List<Job>) = TeamConfiguration("nets", Quota(10_000, 8_000), jobs = jobs)

    private fun job(name: String, zone: String, milliCpus: Long) =
        Job(name, zone, 1, milliCpus, memoryMib = 100, expected = 1.seconds)
}
