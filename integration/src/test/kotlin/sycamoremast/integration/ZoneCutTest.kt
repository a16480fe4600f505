package sycamoremast.integration

import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@Timeout(value = 90, unit = TimeUnit.SECONDS)
class ZoneCutTest {
    // Proves: whole-answer | cut-both-ways | request-received
    // Proves: one-place | cut-both-ways | task-running
    // Proves: resumed-once | cut-both-ways | task-running
    // Proves: in-force | cut-both-ways | configuration-relayed
    @Test
    fun `serves in a zone cut off from the platform and applies the changes once restored`() {
        Deployment(Layout(listOf("gauja", "sigulda"))).use { deployment ->
            val (gauja, sigulda) = deployment.daemons
            val jobs = listOf("gauja", "sigulda")
            val first = deployment.submit(
                bktib { jobs.forEach { survey("$it-survey", it, expected = 3.seconds) } }
            )
            await("tasks run in both zones", deployment::logs) {
                jobs.all { job -> deployment.platform.runs().any { job in it.taskId } }
            }
            deployment.link("gauja").cut()
            val load = RequestLoad(threads = 2, workMillis = 10) {
                if (it % 2 == 0) gauja.requests else sigulda.requests
            }
            val second = load.use {
                await("both zones serve", deployment::logs) { load.count(Outcome.WHOLE) >= 100 }
                deployment.awaitJob(sigulda, "sigulda-survey", "finished")
                sigulda.submit("bktib", first, bktib().toIni()).revision
            }
            expectThat(load.except(Outcome.WHOLE)).isEqualTo(mapOf())
            deployment.link("gauja").restore()
            await("the restored zone applies the change", deployment::logs) {
                gauja.document("bktib").revision == second
            }
            deployment.awaitJob(gauja, "gauja-survey", "finished")
            jobs.forEach { expectFinishedOnce(deployment.platform.runs(), "$it-survey", tasks = 4) }
            expectThat(deployment.daemons.map { it.document("bktib").revision })
                .isEqualTo(listOf(second, second))
        }
    }
}
