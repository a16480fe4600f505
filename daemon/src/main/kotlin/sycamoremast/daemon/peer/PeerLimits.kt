/** The bounds within which connections between entry hosts are kept. */
package sycamoremast.daemon.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.store.Backoff

/**
 * Sizes and times of peer connections.
 *
 * A connection on which nothing was sent for [pingAfter] sends a ping; one on which nothing was
 * received for [dropAfterSilence] is dropped. A peer that does not take a message within
 * [dropAfterSilence] is dropped too.
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
        require(maxMessageBytes > 0) { "no message fits into $maxMessageBytes bytes" }
        require(dropAfterSilence > pingAfter) { "$dropAfterSilence must exceed $pingAfter" }
    }
}
