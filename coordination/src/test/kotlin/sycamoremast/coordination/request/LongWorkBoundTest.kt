package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class LongWorkBoundTest {
    @Test
    fun `a backlog counts for no more than the slots and is soon forgotten`() {
        val bound = LongWorkBound()
        bound.shortDemand(wanted = 1_000, slots = SLOTS, nowMillis = 0.0)
        bound.shortDemand(wanted = 0, slots = SLOTS, nowMillis = 1_000.0)
        expectThat(bound.longLimit(SLOTS, nowMillis = 1_000.0)).isEqualTo(1)
        expectThat(bound.longLimit(SLOTS, nowMillis = 15_000.0)).isGreaterThan(SLOTS / 2)
    }

    private companion object {
        const val SLOTS = 32
    }
}
