/** The checks of the request path find each planted defect, and nothing without one. */
package sycamoremast.daemon.request

import java.util.concurrent.CompletableFuture.supplyAsync
import java.util.concurrent.Executors
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import sycamoremast.standins.BackendServer
import sycamoremast.standins.BackendSettings

class PlantedRequestDefectTest {
    // Proves: at-most-once | reset | request-answering
    // Proves: not-run-true | reset | request-answering
    // Proves: whole-answer | reset | request-answering
    @Test
    fun `every planted defect is caught and nothing else is`() {
        expectThat(broken(null)).isEmpty()
        val missed = PlantedRequestDefect.entries.filter { defect ->
            val found = broken(defect).firstOrNull { defect.symptom in it }
            println("planted=$defect caught=$found")
            found == null
        }
        expectThat(missed).isEmpty()
    }

    private fun broken(defect: PlantedRequestDefect?) = faultyCalls(defect) + sharedSlots(defect)

    /** Sends a request for each [Strike] through one host, and then again through another. */
    private fun faultyCalls(defect: PlantedRequestDefect?): List<String> {
        val struck = mutableSetOf<Strike>()
        val recorder = RequestRecorder()
        val memory = MemoryStore()
        RawBackend { request -> strike(request, defect, struck) }.use { backend ->
            val hosts = List(2) { host(backend, memory, defect) }
            for (strike in Strike.entries) {
                val sent = "plain $strike"
                val call = hosts.first().send("/invoices", "POST", sent)
                recorder.record(sent, call.outcome, call.text())
                for (host in hosts) {
                    val key = mapOf("Idempotency-Key" to "$strike")
                    val call = host.send("/invoices", "POST", "$strike", key)
                    recorder.record("$strike", call.outcome, call.text())
                }
            }
            hosts.forEach { it.close() }
            expectThat(struck.toSet()).isEqualTo(Strike.entries.toSet())
            return recorder.broken(backend.requests.map { it.body })
        }
    }

    private enum class Strike { NONE, RESET, CUT_SHORT, OTHER_ID }

    private fun RawConnection.strike(
        request: RawRequest,
        defect: PlantedRequestDefect?,
        struck: MutableSet<Strike>
    ): Boolean {
        val whole = "paid ${request.body}"
        val strike = Strike.valueOf(request.body.removePrefix("plain "))
        struck += strike
        return when (strike) {
            Strike.NONE -> if (defect == PlantedRequestDefect.RUN_SAID_NOT_RUN) {
                answer(request, "", "503 Service Unavailable", listOf("X-Not-Run: slots"))
            } else {
                answer(request, whole)
            }

            Strike.RESET -> reset()

            Strike.CUT_SHORT -> {
                val isHidden = defect == PlantedRequestDefect.TRUNCATED_ANSWER_PASSED_ON
                answer(request, "paid", length = if (isHidden) 4 else whole.length) && false
            }

            Strike.OTHER_ID -> {
                val isHidden = defect == PlantedRequestDefect.ANSWER_OF_ANOTHER_PASSED_ON
                val id = if (isHidden) request.id else "another"
                answer(request.copy(headers = mapOf("x-request-id" to id)), "paid another")
            }
        }
    }

    private fun host(
        backend: RawBackend,
        memory: MemoryStore,
        defect: PlantedRequestDefect?
    ): PathHarness {
        val list = FakeHostList(listOf(FakeHostList.backend(backend.port)))
        val store = defect?.plantedIn(memory) ?: memory
        val service = defect?.plantedIn(REPORTS) ?: REPORTS
        return PathHarness(hostList = list, ports = testPorts(list, store, service = service))
            .ready()
    }

    /** Returns what a server with eight slots says of two hosts that use it at once. */
    private fun sharedSlots(defect: PlantedRequestDefect?): List<String> {
        val callers = Executors.newCachedThreadPool()
        val hub = PeerHub()
        val isBlind = defect == PlantedRequestDefect.SHARE_COUNTED_TWICE
        BackendServer.start(BackendSettings(workMillis = 20)).use { backend ->
            val list = FakeHostList(listOf(FakeHostList.backend(backend.port)))
            val hosts = listOf("entry-1" to "entry-2", "entry-2" to "entry-1").map { (own, other) ->
                val others = listOf(FakeMembership.member(other)).filterNot { isBlind }
                val membership = FakeMembership(FakeMembership.member(own), others)
                val ports =
                    testPorts(list, membership = membership, peers = hub.networkOf(own))
                PathHarness(hostList = list, ports = ports).ready()
            }
            val calls = List(80) { number ->
                supplyAsync({ hosts[number % 2].send("/invoices", "POST", "$number") }, callers)
            }
            calls.forEach { it.join() }
            hosts.forEach { it.close() }
            callers.shutdown()
            val refused = backend.usage().refused
            return listOf("$refused requests came beyond the slots").filter { refused > 0 }
        }
    }
}
