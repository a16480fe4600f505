package sycamoremast.integration

import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@Timeout(value = 100, unit = TimeUnit.SECONDS)
class KillTest {
    private val layout = Layout(daemonsPerZone = 3, workersPerZone = 2, backendsPerZone = 2)

    // Proves: one-place | kill | task-running
    // Proves: resumed-once | kill | task-running
    // Proves: whole-answer | kill | request-received
    @Test
    fun `serves requests and finishes the job once when any one of three daemons is killed`() {
        Deployment(layout).use { deployment ->
            for (victim in deployment.daemons.indices) {
                val job = "survey-$victim"
                deployment.submit(bktib { survey(job) })
                awaitRunning(deployment, job)
                deployment.daemons[victim].process.kill()
                val others = deployment.daemons.filterIndexed { i, _ -> i != victim }
                for ((i, other) in others.withIndex()) {
                    val outcome = call(other.requests, Request("kill-$victim-$i"))
                    expectThat(outcome).describedAs(other.name).isEqualTo(Outcome.WHOLE)
                }
                deployment.awaitJob(others.last(), job, "finished")
                expectFinishedOnce(deployment.platform.runs(), job, tasks = 4)
                deployment.restart(victim)
            }
        }
    }

    private fun awaitRunning(deployment: Deployment, job: String) =
        await("a task of $job runs", deployment::logs) {
            deployment.platform.runs().any { job in it.taskId }
        }
}
