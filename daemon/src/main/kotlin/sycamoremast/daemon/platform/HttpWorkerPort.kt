/** A worker over HTTP; bodies are the JSON of the port's own types. */
package sycamoremast.daemon.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import okhttp3.OkHttpClient
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerPort
import sycamoremast.coordination.WorkerReport

/** The worker at [address]. */
class HttpWorkerPort internal constructor(private val address: String, http: OkHttpClient) :
    WorkerPort {
    private val client = JsonClient(address, http)

    override fun renew(renewal: LeaseRenewal): Either<WorkerError, WorkerReport> =
        call("renew", platformJson.encodeToString(renewal), WorkerReport.serializer())

    override fun start(order: StartOrder): Either<WorkerError, TaskReport> =
        call("start", platformJson.encodeToString(order), TaskReport.serializer())

    override fun control(
        taskId: String,
        epoch: Long,
        action: TaskAction
    ): Either<WorkerError, TaskReport> {
        val body = platformJson.encodeToString(ControlOrder(taskId, epoch, action))
        return call("control", body, TaskReport.serializer())
    }

    private fun <T> call(
        name: String,
        body: String,
        serializer: KSerializer<T>
    ): Either<WorkerError, T> {
        val step = "worker-$name"
        return when (val result = client.post("/$name", body)) {
            is CallResult.NotSent -> WorkerError.NotSent(step, address, result.reason).left()
            is CallResult.AnswerLost -> lost(step, result.reason)
            is CallResult.Answered -> decode(step, result, serializer)
        }
    }

    private fun <T> decode(
        step: String,
        answer: CallResult.Answered,
        serializer: KSerializer<T>
    ): Either<WorkerError, T> = try {
        when (answer.status) {
            STATUS_OK -> platformJson.decodeFromString(serializer, answer.body).right()
            STATUS_CONFLICT -> {
                val epoch = platformJson.decodeFromString<StaleEpoch>(answer.body).currentEpoch
                WorkerError.StaleEpoch(step, address, epoch).left()
            }
            STATUS_UNPROCESSABLE -> {
                val reason = platformJson.decodeFromString<Refusal>(answer.body).reason
                WorkerError.Refused(step, address, reason).left()
            }
            else -> lost(step, "status ${answer.status}")
        }
    } catch (e: SerializationException) {
        lost(step, "not understood: ${e.message}")
    }

    private fun lost(step: String, reason: String) =
        WorkerError.AnswerLost(step, address, reason).left()

    @Serializable
    private data class ControlOrder(val taskId: String, val epoch: Long, val action: TaskAction)

    @Serializable
    private data class StaleEpoch(val currentEpoch: Long)

    @Serializable
    private data class Refusal(val reason: String)

    companion object {
        private const val STATUS_OK = 200
        private const val STATUS_CONFLICT = 409
        private const val STATUS_UNPROCESSABLE = 422

        /** Returns the worker at [address], an IP number with a port and perhaps a path. */
        fun at(address: String, http: OkHttpClient) = HttpWorkerPort(address, http)
    }
}
