/** Tests reading, interpreting and checking state charts. */
package sycamoremast.coordination.statechart

import arrow.core.left
import arrow.core.right
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class StateChartTest {
    private enum class Door { CLOSED, WIDE_OPEN, REMOVED }

    private enum class Move { OPEN, CLOSE, REMOVE }

    private val chart = StateChart.fromResource(
        "/sycamoremast/coordination/statechart/door.scxml",
        Door::class,
        Move::class
    )

    @Test
    fun `returns the states and transitions of the file`() {
        expectThat(chart.initial).isEqualTo(Door.CLOSED)
        expectThat(chart.next(Door.CLOSED, Move.OPEN)).isEqualTo(Door.WIDE_OPEN.right())
        expectThat(chart.finals).containsExactlyInAnyOrder(Door.REMOVED)
        expectThat(chart.eventsFrom(Door.CLOSED))
            .containsExactlyInAnyOrder(Move.OPEN, Move.REMOVE)
    }

    @Test
    fun `returns the missing transition for an event that a state does not allow`() {
        expectThat(chart.next(Door.WIDE_OPEN, Move.REMOVE))
            .isEqualTo(NoTransition(Door.WIDE_OPEN, Move.REMOVE).left())
    }

    @Test
    fun `finds no unreachable states or dead ends in a valid chart`() {
        expectThat(chart.unreachable()).isEmpty()
        expectThat(chart.deadEnds()).isEmpty()
    }

    @Test
    fun `finds an unreachable state`() {
        val text = door(REMOVE_FROM_CLOSED, OPEN_FROM_CLOSED + OPEN_TO_CLOSED)
        expectThat(parse(text).unreachable()).containsExactlyInAnyOrder(Door.WIDE_OPEN)
    }

    @Test
    fun `finds a state from which no final state can be reached`() {
        val text = door(ALL_FROM_CLOSED, """<transition event="close" target="wide-open"/>""")
        expectThat(parse(text).deadEnds()).containsExactlyInAnyOrder(Door.WIDE_OPEN)
    }

    @Test
    fun `finds a state without transitions that is not final`() {
        val text = door(ALL_FROM_CLOSED, OPEN_TO_CLOSED).replace("final", "state")
        expectThat(parse(text).deadEnds())
            .containsExactlyInAnyOrder(Door.REMOVED)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "not XML",
            """<chart initial="closed"/>""",
            """<scxml initial="closed"><state id="closed"/></scxml>""",
            """<scxml initial="closed"><state id="ajar"/></scxml>""",
            """<scxml initial="closed"><state id="closed"/><state id="closed"/></scxml>""",
            """<!DOCTYPE scxml><scxml initial="closed"/>"""
        ]
    )
    fun `rejects a chart that is malformed or does not match the code`(text: String) {
        assertThrows<StateChartFormatException> { parse(text) }
    }

    @Test
    fun `rejects a chart in which an event is unused`() {
        val text = door(OPEN_FROM_CLOSED, OPEN_TO_CLOSED)
        val e = assertThrows<StateChartFormatException> { parse(text) }
        expectThat(e.message).isEqualTo("malformed state chart: unused events: remove")
    }

    private fun parse(text: String) = StateChart.parse(text, Door::class, Move::class)

    private fun door(closed: String, open: String) = """
        <scxml initial="closed">
          <state id="closed">$closed</state>
          <state id="wide-open">$open</state>
          <final id="removed"/>
        </scxml>
    """

    private companion object {
        const val OPEN_FROM_CLOSED = """<transition event="open" target="wide-open"/>"""
        const val REMOVE_FROM_CLOSED = """<transition event="remove" target="removed"/>"""
        const val ALL_FROM_CLOSED = OPEN_FROM_CLOSED + REMOVE_FROM_CLOSED
        const val OPEN_TO_CLOSED = """<transition event="close" target="closed"/>"""
    }
}
