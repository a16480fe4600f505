/** Messages by which hosts lend each other slots of backend servers. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests a loan of slots; answered by [LentSlots], or not answered if [round] is outdated.
 *
 * [needs] is the number of slots of earlier loans that the sender keeps, by backend server; it
 * returns the others. [wanted] is the number of additional slots it can use, by service.
 */
@Serializable
@SerialName("borrow")
data class BorrowSlots(
    @SerialName("r") val round: Long,
    @SerialName("n") val needs: Map<String, Int> = emptyMap(),
    @SerialName("w") val wanted: Map<String, Int> = emptyMap()
) : PeerMessage

/** All slots that the sender has lent to the receiver as of [round], by backend server. */
@Serializable
@SerialName("lent")
data class LentSlots(
    @SerialName("r") val round: Long,
    @SerialName("s") val slots: Map<String, Int> = emptyMap()
) : PeerMessage
