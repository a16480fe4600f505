/** Tests that the checks of the request path detect each planted defect. */
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
    fun `detects every planted defect and reports nothing without one`() {
        expectThat(violations(null)).isEmpty()
        val missed = PlantedRequestDefect.entries.filter { defect ->
            val found = violations(defect).firstOrNull { defect.symptom in it }
            println("planted=$defect caught=$found")
            found == null
        }
        expectThat(missed).isEmpty()
    }

    private fun violations(defect: PlantedRequestDefect?) =
        faultyCalls(defect) + sharedSlots(defect)

    /** Triggers each [BackendFault] by a plain request, and by one with a key on both hosts. */
    private fun faultyCalls(defect: PlantedRequestDefect?): List<String> {
        val triggered = mutableSetOf<BackendFault>()
        val recorder = RequestRecorder()
        val memory = MemoryStore()
        RawBackend { request -> respondWithFault(request, defect, triggered) }.use { backend ->
            val hosts = List(2) { host(backend, memory, defect) }
            for (fault in BackendFault.entries) {
                val sent = "plain $fault"
                val call = hosts.first().send("/invoices", "POST", sent)
                recorder.record(sent, call.outcome, call.text())
                for (host in hosts) {
                    val key = mapOf("Idempotency-Key" to "$fault")
                    val call = host.send("/invoices", "POST", "$fault", key)
                    recorder.record("$fault", call.outcome, call.text())
                }
            }
            hosts.forEach { it.close() }
            expectThat(triggered.toSet()).isEqualTo(BackendFault.entries.toSet())
            return recorder.violations(backend.requests.map { it.body })
        }
    }

    private enum class BackendFault { NONE, RESET, CUT_SHORT, OTHER_ID }

    private fun RawConnection.respondWithFault(
        request: RawRequest,
        defect: PlantedRequestDefect?,
        triggered: MutableSet<BackendFault>
    ): Boolean {
        val whole = "paid ${request.body}"
        val fault = BackendFault.valueOf(request.body.removePrefix("plain "))
        triggered += fault
        return when (fault) {
            BackendFault.NONE -> if (defect == PlantedRequestDefect.RUN_SAID_NOT_RUN) {
                answer(request, "", "503 Service Unavailable", listOf("X-Not-Run: slots"))
            } else {
                answer(request, whole)
            }

            BackendFault.RESET -> reset()

            BackendFault.CUT_SHORT -> {
                val isHidden = defect == PlantedRequestDefect.TRUNCATED_ANSWER_PASSED_ON
                answer(request, "paid", length = if (isHidden) 4 else whole.length) && false
            }

            BackendFault.OTHER_ID -> {
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

    /** Returns the violations that a server with eight slots sees when two hosts use it. */
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
