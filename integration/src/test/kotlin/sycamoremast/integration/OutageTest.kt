package sycamoremast.integration

import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import sycamoremast.standins.KeyValueFaults

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class OutageTest {
    @AfterEach
    fun clearFaults() {
        deployment.platform.setKeyValueFaults(KeyValueFaults())
        deployment.link("gauja").fault = null
    }

    // Proves: whole-answer | cut-one-way, slow, reset | request-received
    // Proves: one-place, resumed-once | cut-one-way, slow, reset | task-running
    // Proves: in-force | cut-one-way, slow, reset | configuration-applied
    @ParameterizedTest
    @EnumSource
    internal fun `serves requests and finishes a job over faulty platform links`(fault: LinkFault) {
        val job = "${fault.name.lowercase().replace('_', '-')}-survey"
        val link = deployment.link("gauja")
        val revision = deployment.submit(bktib { survey(job, expected = 3.seconds) })
        await("a task runs", deployment::logs) { runs(job).isNotEmpty() }
        link.affectedChunks.set(0)
        link.fault = fault
        val load = RequestLoad(threads = 2, workMillis = 10) { deployment.daemons[it % 2].requests }
        load.use {
            await("requests are served under the fault", deployment::logs) {
                load.count(Outcome.WHOLE) >= 100 && link.affectedChunks.get() >= MIN_AFFECTED_CHUNKS
            }
        }
        expectThat(load.except(Outcome.WHOLE)).isEqualTo(mapOf())
        expectThat(deployment.daemons.map { it.document("bktib").revision }.toSet())
            .isEqualTo(setOf(revision))
        link.fault = null
        deployment.awaitJob(deployment.daemons.first(), job, "finished")
        expectFinishedOnce(deployment.platform.runs(), job, tasks = 4)
    }

    // Proves: whole-answer | store-down | request-received
    // Proves: one-place | store-down | task-running
    // Proves: resumed-once | store-down | task-running
    // Proves: in-force | store-down | configuration-applied
    @Test
    fun `serves requests and finishes a job once over an outage of the store`() {
        val revision = deployment.submit(bktib { survey("long-survey", expected = 3.seconds) })
        await("a task runs", deployment::logs) { runs("long-survey").isNotEmpty() }
        deployment.platform.setKeyValueFaults(KeyValueFaults(down = true))
        val daemons = deployment.daemons
        val load = RequestLoad(threads = 2, workMillis = 10) { daemons[it % 2].requests }
        load.use {
            await("requests are served during the outage", deployment::logs) {
                load.count(Outcome.WHOLE) >= 100
            }
            await("every task has ended during the outage", deployment::logs) {
                runs("long-survey").all { it.endedMillis != null }
            }
        }
        expectThat(load.except(Outcome.WHOLE)).isEqualTo(mapOf())
        expectThat(daemons.map { it.document("bktib").revision }.toSet())
            .isEqualTo(setOf(revision))
        deployment.platform.setKeyValueFaults(KeyValueFaults())
        deployment.awaitJob(daemons.first(), "long-survey", "finished")
        expectFinishedOnce(deployment.platform.runs(), "long-survey", tasks = 4)
    }

    // Proves: in-force | answer-lost | configuration-submitted
    @Test
    fun `accepts a submission once when the response of the store is lost`() {
        val first = deployment.submit(bktib())
        deployment.platform.setKeyValueFaults(KeyValueFaults(dropAnswers = 1))
        val second = deployment.submit(bktib { survey("survey", tasks = 1) })
        expectThat(second).isGreaterThan(first)
        deployment.awaitJob(deployment.daemons.first(), "survey", "finished")
        expectFinishedOnce(deployment.platform.runs(), "bktib/survey", tasks = 1)
    }

    // Proves: at-most-once | store-down | request-received
    // Proves: not-run-true | store-down | request-received
    @Test
    fun `refuses a keyed request as not run while its claim can't be made durable`() {
        deployment.submit(bktib())
        deployment.platform.setKeyValueFaults(KeyValueFaults(down = true))
        val keyed = Request("keyed", path = "/invoice/1", key = "key-1")
        val requests = deployment.daemons.first().requests
        expectThat(call(requests, keyed)).isEqualTo(Outcome.NOT_RUN)
        expectThat(executions(keyed)).isEmpty()
        deployment.platform.setKeyValueFaults(KeyValueFaults())
        await("the request is served", deployment::logs) {
            call(requests, keyed) == Outcome.WHOLE
        }
        expectThat(executions(keyed)).hasSize(1)
    }

    private fun executions(request: Request) =
        deployment.platform.executions().filter { it.idempotencyKey == request.key }

    private fun runs(job: String) = deployment.platform.runs().filter { job in it.taskId }

    companion object {
        private const val MIN_AFFECTED_CHUNKS = 5
        private lateinit var deployment: Deployment

        @JvmStatic
        @BeforeAll
        fun start() {
            deployment = Deployment(Layout(daemonsPerZone = 2))
        }

        @JvmStatic
        @AfterAll
        fun stop() = deployment.close()
    }
}
