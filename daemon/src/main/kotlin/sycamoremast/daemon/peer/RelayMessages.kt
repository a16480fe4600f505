/** Messages by which the owner of a worker set has other hosts relay its orders to workers. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerOrder

/** Orders to be relayed to workers; each of them is answered by a [RelayedAnswer]. */
@Serializable
@SerialName("orders")
data class RelayedOrders(@SerialName("o") val orders: List<RelayedOrder>) : PeerMessage

/** An [order] with the [number] that its sender assigned to it. */
@Serializable
data class RelayedOrder(@SerialName("n") val number: Long, @SerialName("o") val order: WorkerOrder)

/** The answers of workers to [RelayedOrders]. */
@Serializable
@SerialName("answers")
data class RelayedAnswers(@SerialName("a") val answers: List<RelayedAnswer>) : PeerMessage

/** The [answer] to the order with [number]. */
@Serializable
data class RelayedAnswer(
    @SerialName("n") val number: Long,
    @SerialName("a") val answer: WorkerAnswer
)
