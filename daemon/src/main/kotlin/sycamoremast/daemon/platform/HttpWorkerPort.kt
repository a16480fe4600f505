/** A client of one worker over HTTP; bodies are the JSON form of the port's types. */
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

/** Calls the worker at [address]. */
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
            is CallResult.AnswerLost -> answerLost(step, result.reason)
            is CallResult.Answered -> decode(step, result, serializer)
        }
    }

    private fun <T> decode(
        step: String,
        response: CallResult.Answered,
        serializer: KSerializer<T>
    ): Either<WorkerError, T> = try {
        when (response.status) {
            STATUS_OK -> platformJson.decodeFromString(serializer, response.body).right()
            STATUS_CONFLICT -> {
                val epoch = platformJson.decodeFromString<StaleEpoch>(response.body).currentEpoch
                WorkerError.StaleEpoch(step, address, epoch).left()
            }
            STATUS_UNPROCESSABLE -> {
                val reason = platformJson.decodeFromString<Refusal>(response.body).reason
                WorkerError.Refused(step, address, reason).left()
            }
            else -> answerLost(step, "status ${response.status}")
        }
    } catch (e: SerializationException) {
        answerLost(step, "not understood: ${e.message}")
    }

    private fun answerLost(step: String, reason: String) =
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

        /** Returns a worker client for [address], an IP address with port and optional path. */
        fun at(address: String, http: OkHttpClient) = HttpWorkerPort(address, http)
    }
}
