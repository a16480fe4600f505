package sycamoremast.coordination.shard

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import sycamoremast.coordination.statechart.StateChart

class ShardChartsTest {
    @ParameterizedTest
    @MethodSource("charts")
    fun `every state is reachable and none is a dead end`(chart: StateChart<*, *>) {
        expectThat(chart.unreachable()).isEmpty()
        expectThat(chart.deadEnds()).isEmpty()
    }

    companion object {
        @JvmStatic
        fun charts() = listOf(Ownership.CHART, TaskAttempt.CHART)
    }
}
