/** Tests the problems that are raised for unknown outcomes. */
package sycamoremast.daemon.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import sycamoremast.daemon.control.ProblemKind

class UnknownOutcomesTest {
    private val problems = RecordedProblems()

    @Test
    fun `raises one problem with evidence for unknown outcomes that must not be repeated`() {
        call("/invoices")
        expectThat(problems.raised).hasSize(1)
        val evidence = problems.raised.getValue(ProblemKind.UNKNOWN to "requests of $SERVICE")
        expectThat(evidence).contains("step=AWAITING").contains("/invoices")
    }

    @Test
    fun `raises no problem for an unknown outcome of an idempotent request`() {
        call("/photos")
        expectThat(problems.raised).isEmpty()
    }

    private fun call(target: String) = RawBackend { reset() }.use { backend ->
        val list = FakeHostList(listOf(FakeHostList.backend(backend.port)))
        val ports = testPorts(list, problems = problems)
        PathHarness(hostList = list, ports = ports).ready().use {
            repeat(3) { _ -> it.send(target, "POST", "x") }
        }
    }
}
