/** Problems that are raised for unknown outcomes. */
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
    fun `an unknown outcome that must not be repeated is raised once with its evidence`() {
        call("/invoices")
        expectThat(problems.raised).hasSize(1)
        val evidence = problems.raised.getValue(ProblemKind.UNKNOWN to "requests of $SERVICE")
        expectThat(evidence).contains("step=AWAITING").contains("/invoices")
    }

    @Test
    fun `an unknown outcome of an idempotent request is no problem`() {
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
