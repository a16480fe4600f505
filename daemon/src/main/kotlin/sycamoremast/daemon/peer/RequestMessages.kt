/** Messages about the slots of backend servers. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks for slots on loan; answered by [LentSlots], or not at all if [round] is out of date.
 *
 * Of earlier loans the sender still [needs] these, by backend server, and gives up the others. It
 * has use for so many more slots as are [wanted], by service.
 */
@Serializable
@SerialName("borrow")
data class BorrowSlots(
    @SerialName("r") val round: Long,
    @SerialName("n") val needs: Map<String, Int> = emptyMap(),
    @SerialName("w") val wanted: Map<String, Int> = emptyMap()
) : PeerMessage

/** All that the sender has lent to the receiver, by backend server, since [round]. */
@Serializable
@SerialName("lent")
data class LentSlots(
    @SerialName("r") val round: Long,
    @SerialName("s") val slots: Map<String, Int> = emptyMap()
) : PeerMessage
