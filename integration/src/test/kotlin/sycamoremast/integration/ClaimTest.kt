package sycamoremast.integration

import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isContainedIn

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ClaimTest {
    // Proves: at-most-once | kill | request-dispatched
    @Test
    fun `runs a keyed request once when it is repeated through another daemon after a kill`() {
        Deployment(Layout(daemonsPerZone = 2, backendsPerZone = 2)).use { deployment ->
            deployment.submit(bktib())
            val (first, second) = deployment.daemons
            val keyed = Request("invoice-1", workMillis = 1_500, path = "/invoice/7", key = "key-7")
            val caller = thread { call(first.requests, keyed) }
            await("the invoice is running", deployment::logs) {
                executions(deployment, "key-7").isNotEmpty()
            }
            first.process.kill()
            caller.join()
            val outcome = call(second.requests, keyed.copy(id = "invoice-2", workMillis = 10))
            expectThat(outcome).isContainedIn(setOf(Outcome.UNKNOWN, Outcome.NOT_RUN))
            expectThat(executions(deployment, "key-7")).hasSize(1)
        }
    }

    private fun executions(deployment: Deployment, key: String) =
        deployment.platform.executions().filter { it.idempotencyKey == key }
}
