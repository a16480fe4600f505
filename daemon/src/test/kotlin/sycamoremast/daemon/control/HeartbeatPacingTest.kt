/** Tests when a peer is due a heartbeat that requests a reply. */
package sycamoremast.daemon.control

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class HeartbeatPacingTest {
    private val pacing = HeartbeatPacing(stepMillis = 500)

    @ParameterizedTest
    @CsvSource(
        "false, false, 1749, false",
        "false, false, 1750, true",
        "true, false, 749, false",
        "true, false, 750, true",
        "false, true, 749, false",
        "false, true, 750, true"
    )
    fun `silent peer is due after three and a half steps, a relay after one and a half`(
        isRelay: Boolean,
        isFromRelay: Boolean,
        silentMillis: Long,
        isDue: Boolean
    ) {
        pacing.recordHeartbeat("peer", isRelay, nowMillis = 10_000)
        expectThat(pacing.isDue("peer", isFromRelay, 10_000 + silentMillis)).isEqualTo(isDue)
    }

    @Test
    fun `peer is due at once before its first heartbeat and after it was removed`() {
        expectThat(pacing.isDue("peer", isFromRelay = false, nowMillis = 0)).isTrue()
        pacing.recordHeartbeat("peer", isRelay = false, nowMillis = 0)
        pacing.retain(emptyList())
        expectThat(pacing.isDue("peer", isFromRelay = false, nowMillis = 1)).isTrue()
    }
}
