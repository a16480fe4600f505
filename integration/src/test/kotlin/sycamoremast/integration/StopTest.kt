package sycamoremast.integration

import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StopTest {
    // Proves: graceful-stop | planned-stop | request-dispatched
    // Proves: not-run-true | planned-stop | request-received
    // Proves: one-place | planned-stop | task-running
    @Test
    fun `cuts off no request and keeps tasks running in a planned stop under load`() {
        Deployment(Layout(daemonsPerZone = 2, backendsPerZone = 2)).use { deployment ->
            deployment.submit(bktib { survey("survey", tasks = 4) })
            await("a task runs", deployment::logs) { deployment.platform.runs().isNotEmpty() }
            val (leaving, staying) = deployment.daemons
            val load = RequestLoad(threads = 8, workMillis = 200) { leaving.requests }
            load.use {
                await("requests are served", deployment::logs) { load.count(Outcome.WHOLE) >= 16 }
                leaving.process.terminate()
                expectThat(leaving.process.awaitExit()).isEqualTo(0)
            }
            expectOutcomes(deployment, load)
            deployment.awaitJob(staying, "survey", "finished")
            expectFinishedOnce(deployment.platform.runs(), "survey", tasks = 4)
        }
    }

    // Proves: not-run-true | planned-stop | request-queued
    @Test
    fun `reports a true outcome for each request during a planned stop`() {
        Deployment(Layout(daemonsPerZone = 1, backendsPerZone = 2)).use { deployment ->
            deployment.submit(bktib())
            val leaving = deployment.daemons.single()
            val load = RequestLoad(threads = 8, workMillis = 50) { leaving.requests }
            load.use {
                await("requests are served", deployment::logs) { load.count(Outcome.WHOLE) >= 16 }
                leaving.process.terminate()
                leaving.process.awaitExit()
            }
            expectThat(load.except(Outcome.WHOLE, Outcome.NOT_RUN, Outcome.UNSENT, Outcome.CUT_OFF))
                .describedAs("requests without a true outcome").isEqualTo(mapOf())
        }
    }

    private fun expectOutcomes(deployment: Deployment, load: RequestLoad) {
        val ran = deployment.platform.executions().map { it.requestId }.toSet()
        val whole = load.observations.filterValues { it.outcome == Outcome.WHOLE }.keys
        expectThat(load.observations.filterKeys { it in ran - whole })
            .describedAs("requests that ran without a response").isEqualTo(mapOf())
        val notRun = load.observations.filterValues { it.outcome == Outcome.NOT_RUN }.keys
        expectThat(notRun intersect ran).describedAs("false not-run outcomes").isEmpty()
    }
}
