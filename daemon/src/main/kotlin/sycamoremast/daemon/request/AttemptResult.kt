/** What became of one attempt to run a request on one backend server. */
package sycamoremast.daemon.request

import java.io.InputStream
import kotlin.time.Duration
import sycamoremast.coordination.request.RequestFailure

internal sealed interface AttemptResult {
    /** Whether the backend server announced that it is leaving. */
    val isDraining: Boolean get() = false

    /** The answer has begun; an [AnswerBody.Buffered] body is already whole. */
    data class Answer(
        val status: Int,
        val headers: List<Pair<String, String>>,
        val body: AnswerBody,
        val isBodiless: Boolean,
        override val isDraining: Boolean
    ) : AttemptResult

    /** The backend server refused the request, perhaps only for want of a slot; it did not run. */
    data class Refused(
        val failure: RequestFailure,
        val retryAfter: Duration?,
        val isBusy: Boolean,
        override val isDraining: Boolean
    ) : AttemptResult

    /** The attempt failed; the request's life tells whether it may have run. */
    data class Failed(val failure: RequestFailure, val kind: FailureKind) : AttemptResult
}

/** Why an attempt failed, as far as that says something about the backend server. */
internal enum class FailureKind { CONNECT, STALE_CONNECTION, DEADLINE, BROKEN, CALLER }

/** The body of an answer. */
internal sealed interface AnswerBody {
    /** A body that was received whole. */
    class Buffered(val bytes: ByteArray) : AnswerBody

    /** A body on its way; reading [stream] fails if it does not arrive whole. */
    class Streamed(val stream: InputStream, val length: Long?, val isWhole: () -> Boolean) :
        AnswerBody
}
