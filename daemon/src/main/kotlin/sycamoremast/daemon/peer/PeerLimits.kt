/** Limits of the connections between entry hosts. */
package sycamoremast.daemon.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.store.Backoff

/**
 * Size limits and timeouts of peer connections.
 *
 * A ping is sent if nothing else was sent for [pingAfter]. A connection is dropped if nothing was
 * received for [dropAfterSilence], or if the peer does not accept a message within that time.
 */
data class PeerLimits(
    val maxMessageBytes: Int = 2_000_000,
    val maxQueuedMessages: Int = 1_024,
    val maxQueuedBytes: Long = 8_000_000,
    val pingAfter: Duration = 2_500.milliseconds,
    val dropAfterSilence: Duration = 4.seconds,
    val connectTimeout: Duration = 2.seconds,
    val redial: Backoff = Backoff(200.milliseconds, 5.seconds)
) {
    init {
        require(maxMessageBytes > 0) { "maxMessageBytes not positive: $maxMessageBytes" }
        require(dropAfterSilence > pingAfter) {
            "drop time $dropAfterSilence must exceed $pingAfter"
        }
    }
}
