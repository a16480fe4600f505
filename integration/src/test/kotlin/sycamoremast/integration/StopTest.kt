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
    fun `a planned stop under load cuts nothing off and tasks go on`() {
        Deployment(Layout(daemonsPerZone = 2, backendsPerZone = 2)).use { deployment ->
            deployment.submit(bktib { survey("survey", tasks = 4) })
            await("a task runs", deployment::logs) { deployment.platform.runs().isNotEmpty() }
            val (leaving, staying) = deployment.daemons
            val load = Load(threads = 8, workMillis = 200) { leaving.requests }
            load.use {
                await("answers come", deployment::logs) { load.count(Got.WHOLE) >= 16 }
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
    fun `each request during a planned stop gets a true outcome`() {
        Deployment(Layout(daemonsPerZone = 1, backendsPerZone = 2)).use { deployment ->
            deployment.submit(bktib())
            val leaving = deployment.daemons.single()
            val load = Load(threads = 8, workMillis = 50) { leaving.requests }
            load.use {
                await("answers come", deployment::logs) { load.count(Got.WHOLE) >= 16 }
                leaving.process.terminate()
                leaving.process.awaitExit()
            }
            expectThat(load.others(Got.WHOLE, Got.NOT_RUN, Got.REFUSED_BEFORE_SENDING, Got.CUT_OFF))
                .describedAs("requests without a true outcome").isEqualTo(mapOf())
        }
    }

    private fun expectOutcomes(deployment: Deployment, load: Load) {
        val ran = deployment.platform.executions().map { it.requestId }.toSet()
        val whole = load.outcomes.filterValues { it.got == Got.WHOLE }.keys
        expectThat(load.outcomes.filterKeys { it in ran - whole })
            .describedAs("requests that ran without an answer").isEqualTo(mapOf())
        val notRun = load.outcomes.filterValues { it.got == Got.NOT_RUN }.keys
        expectThat(notRun intersect ran).describedAs("requests falsely said not run").isEmpty()
    }
}
