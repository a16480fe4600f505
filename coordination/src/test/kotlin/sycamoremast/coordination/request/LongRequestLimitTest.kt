/** Tests the limit on the slots of long requests. */
package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class LongRequestLimitTest {
    @Test
    fun `caps the demand of a backlog at the number of slots and lets it decay`() {
        val limit = LongRequestLimit()
        limit.recordShortDemand(demandedSlots = 1_000, slots = SLOTS, nowMillis = 0.0)
        limit.recordShortDemand(demandedSlots = 0, slots = SLOTS, nowMillis = 1_000.0)
        expectThat(limit.maxLongSlots(SLOTS, nowMillis = 1_000.0)).isEqualTo(1)
        expectThat(limit.maxLongSlots(SLOTS, nowMillis = 15_000.0)).isGreaterThan(SLOTS / 2)
    }

    private companion object {
        const val SLOTS = 32
    }
}
