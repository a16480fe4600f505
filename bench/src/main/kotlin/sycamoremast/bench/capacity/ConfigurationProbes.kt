/** Probes of the cost of the configuration documents that each host stores. */
package sycamoremast.bench.capacity

import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.Route
import sycamoremast.configuration.Service
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.coordination.document.ConfigurationDocument
import sycamoremast.coordination.document.DocumentTable

private const val ROLE = "configuration"
private const val JOBS_PER_TEAM = 50
private const val WARM_UPS = 30
private const val OFFERS = 20
private val JOBS = listOf(10, 40, 160)
private val TEAMS = listOf(40, 80, 160)

internal fun configurationProbes(): List<Probe> = listOf(
    Probe(ROLE, "document", "bytes", "jobs of the team", JOBS) { jobs, _ ->
        document("team-0", 1, jobs).length.toDouble()
    },
    Probe(ROLE, "change taken over", "CPU us", "jobs of the team", JOBS) { jobs, _ ->
        val table = table()
        var revision = 0L
        medianCpuMicros(WARM_UPS) {
            repeat(OFFERS) { table.offer(document("team-0", ++revision, jobs)) }
        } / OFFERS
    },
    Probe(ROLE, "state", "heap bytes", "teams of 50 jobs", TEAMS) { teams, _ ->
        retainedBytes {
            table().also { table ->
                repeat(teams) { table.offer(document("team-$it", 1, JOBS_PER_TEAM)) }
            }
        }
    },
    Probe(ROLE, "digest", "CPU us", "teams", TEAMS) { teams, _ ->
        val table = table()
        repeat(teams) { table.offer(document("team-$it", 1, 1)) }
        medianCpuMicros(WARM_UPS) { repeat(OFFERS) { table.digest() } } / OFFERS
    }
)

private fun table() = DocumentTable { team, text ->
    TeamConfiguration.parse(team, text).mapLeft { it.joinToString() }
}

private fun document(team: String, revision: Long, jobs: Int): String {
    val configuration = TeamConfiguration(
        team,
        Quota(milliCpus = 1_000_000, memoryMib = 1_000_000),
        listOf(Service("reports", 2.seconds, listOf(Route("photos", "/photos", 1.seconds)))),
        List(jobs) {
            Job(
                name = "survey-2027-03-$it",
                availabilityZone = "sigulda",
                tasks = 4,
                milliCpus = 1_000,
                memoryMib = 2_000,
                expected = 30.minutes
            )
        }
    )
    val text = configuration.toIni()
    return ConfigurationDocument(team, revision, text, "operator", 0, revision - 1).print()
}
