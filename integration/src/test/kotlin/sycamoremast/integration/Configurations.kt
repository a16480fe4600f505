/** Team configurations that the tests submit. */
package sycamoremast.integration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import sycamoremast.configuration.TeamBuilder
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.configuration.team

/** Returns the configuration of the team bktib with the jobs that [jobs] adds. */
internal fun bktib(jobs: TeamBuilder.() -> Unit = {}): TeamConfiguration = team("bktib") {
    quota(milliCpus = 100_000, memoryMib = 400_000)
    service(Platform.SERVICE) {
        deadline = 10.seconds
        route("field-check", "/field-check/", 250.milliseconds, idempotent = true)
        route("certification-review", "/certification-review/", 4.seconds, idempotent = true)
        route("invoice", "/invoice/", 400.milliseconds)
    }
    jobs()
}.fold({ error(it.joinToString()) }, { it })

/** Adds a job whose tasks each reserve half a CPU. */
internal fun TeamBuilder.survey(
    name: String,
    zone: String = "gauja",
    tasks: Int = 4,
    expected: Duration = 2.seconds
) = job(name) {
    availabilityZone = zone
    this.tasks = tasks
    resources(milliCpus = 500, memoryMib = 512)
    this.expected = expected
}
