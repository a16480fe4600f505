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

    private fun first(worker: String, of: List<RelayHost>) =
        RelayChoice.ranked(worker, "a", of).first()

    @Test
    fun `hosts of the worker's availability zone come first`() {
        expectThat(RelayChoice.ranked("worker", "b", hosts).take(3)).all { startsWith("b") }
    }

    @Test
    fun `a stronger host gets more workers`() {
        val counts = workers.groupingBy { first(it, hosts) }.eachCount()
        val weaker = counts.getValue("a2") + counts.getValue("a3")
        expectThat(counts.getValue("a1")).isGreaterThan(weaker)
    }

    @Test
    fun `a host that goes moves only its own workers`() {
        val left = hosts.filter { it.name != "a2" }
        val others = workers.filter { first(it, hosts) != "a2" }
        expectThat(others.all { first(it, left) == first(it, hosts) }).isTrue()
    }

    @Test
    fun `weak hosts are used only where there are no stronger ones`() {
        expectThat(RelayChoice.worthUsing(hosts).map { it.name })
            .containsExactlyInAnyOrder("a1", "b1")
        val equals = hosts.map { it.copy(strength = 1.0) }
        expectThat(RelayChoice.worthUsing(equals)).isEqualTo(equals)
    }
}
