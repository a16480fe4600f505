/** Tests reported outcomes against the requests that a stand-in backend server actually ran. */
package sycamoremast.daemon.request

import java.util.concurrent.CompletableFuture.supplyAsync
import java.util.concurrent.Executors
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import sycamoremast.standins.BackendFaults
import sycamoremast.standins.BackendServer
import sycamoremast.standins.BackendSettings

class StandInFaultTest {
    /** A fault, the expected outcome, and how often the request runs. */
    enum class Fault(val faults: BackendFaults, val outcome: String, val runs: Int) {
        NONE(BackendFaults(), "answered", 1),
        TRUNCATE(BackendFaults(truncate = true), "unknown", 1),
        LATE(BackendFaults(lateMillis = 12_000), "unknown", 1),
        REFUSE(BackendFaults(refuse = true), "not-run", 0),
        RESET_BEFORE(BackendFaults(resetBefore = true), "unknown", 0),
        RESET_AFTER(BackendFaults(resetAfter = true), "unknown", 1),
        LEAVING(BackendFaults(leaving = true), "not-run", 0),
        DRAIN_NOTICE(BackendFaults(drainNotice = true), "answered", 1),
        WRONG_ID(BackendFaults(wrongId = true), "unknown", 1)
    }

    private val backend = BackendServer.start(BackendSettings(workMillis = 3))
    private val callers = Executors.newFixedThreadPool(CALLERS)

    @AfterEach
    fun stop() {
        backend.close()
        callers.shutdownNow()
    }

    @ParameterizedTest
    @EnumSource
    fun `reports an outcome that is consistent with what the backend server ran`(fault: Fault) {
        backend.setFaults(fault.faults)
        val problems = RecordedProblems()
        val ports = testPorts(list(), problems = problems)
        PathHarness(hostList = list(), ports = ports).ready().use {
            val deadlineMillis = if (fault == Fault.LATE) 3_000 else 20_000
            val headers = mapOf("X-Deadline-Millis" to "$deadlineMillis")
            val answer = it.send("/invoices", "POST", "invoice 1", headers)
            expectThat(answer.outcome).isEqualTo(fault.outcome)
            expectThat(backend.executions().size).isEqualTo(fault.runs)
            val isMissed = answer.statusCode() != 200 && answer.outcome != "not-run"
            expectThat(problems.raised.size).isEqualTo(if (isMissed) 1 else 0)
        }
    }

    @Test
    fun `keeps several hosts within the slots and connections of a server`() {
        val hub = PeerHub()
        val names = List(4) { "entry-$it" }
        val hosts = names.map { name ->
            val others = (names - name).map { FakeMembership.member(it) }
            val membership = FakeMembership(FakeMembership.member(name), others)
            val ports = testPorts(list(), membership = membership, peers = hub.networkOf(name))
            PathHarness(hostList = list(), ports = ports).ready()
        }
        val calls = List(400) { number ->
            supplyAsync({ hosts[number % 4].send("/invoices", "POST", "invoice $number") }, callers)
        }
        expectThat(calls.map { it.join().outcome }.toSet()).isEqualTo(setOf("answered"))
        hosts.forEach { it.close() }
        val usage = backend.usage()
        expectThat(usage.maxSlots).isLessThanOrEqualTo(8)
        expectThat(usage.maxConnections).isLessThanOrEqualTo(64)
        expectThat(usage.refused).isEqualTo(0)
        expectThat(backend.executions().map { it.requestId }.toSet().size).isEqualTo(400)
    }

    private fun list() = FakeHostList(listOf(FakeHostList.backend(backend.port)))

    private companion object {
        /** Enough to use four hosts' shares twice over, few enough that no queue refuses any. */
        const val CALLERS = 64
    }
}
