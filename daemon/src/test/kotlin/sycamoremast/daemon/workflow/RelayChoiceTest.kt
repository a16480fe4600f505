package sycamoremast.daemon.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import strikt.assertions.startsWith

class RelayChoiceTest {
    private val hosts = listOf("a", "b").flatMap { zone ->
        (1..3).map { RelayHost("$zone$it", zone, strength = if (it == 1) 3.0 else 1.0) }
    }
    private val workers = (1..600).map { "worker$it" }

    private fun preferred(worker: String, of: List<RelayHost>) =
        RelayChoice.ranked(worker, "a", of).first()

    @Test
    fun `ranks hosts of the worker's availability zone first`() {
        expectThat(RelayChoice.ranked("worker", "b", hosts).take(3)).all { startsWith("b") }
    }

    @Test
    fun `assigns more workers to a stronger host`() {
        val counts = workers.groupingBy { preferred(it, hosts) }.eachCount()
        val weaker = counts.getValue("a2") + counts.getValue("a3")
        expectThat(counts.getValue("a1")).isGreaterThan(weaker)
    }

    @Test
    fun `moves only the workers of a host that leaves`() {
        val remaining = hosts.filter { it.name != "a2" }
        val others = workers.filter { preferred(it, hosts) != "a2" }
        expectThat(others.all { preferred(it, remaining) == preferred(it, hosts) }).isTrue()
    }

    @Test
    fun `excludes weak hosts if there are stronger ones`() {
        expectThat(RelayChoice.eligible(hosts).map { it.name })
            .containsExactlyInAnyOrder("a1", "b1")
        val equals = hosts.map { it.copy(strength = 1.0) }
        expectThat(RelayChoice.eligible(equals)).isEqualTo(equals)
    }
}
