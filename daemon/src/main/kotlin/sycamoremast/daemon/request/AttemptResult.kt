/** The result of one attempt to run a request on a backend server. */
package sycamoremast.daemon.request

import java.io.InputStream
import kotlin.time.Duration
import sycamoremast.coordination.request.RequestFailure

/** The result of one attempt to run a request on a backend server. */
internal sealed interface AttemptResult {
    /** Whether the backend server announced that it is draining. */
    val isDraining: Boolean get() = false

    /** The response headers have arrived; a [BackendResponseBody.Buffered] body is complete. */
    data class BackendResponse(
        val status: Int,
        val headers: List<Pair<String, String>>,
        val body: BackendResponseBody,
        val isBodiless: Boolean,
        override val isDraining: Boolean
    ) : AttemptResult

    /**
     * The backend server refused the request without running it.
     *
     * [isBusy] tells whether it did so because all its slots or connections were in use.
     */
    data class Refused(
        val failure: RequestFailure,
        val retryAfter: Duration?,
        val isBusy: Boolean,
        override val isDraining: Boolean
    ) : AttemptResult

    /** The attempt failed; the state of the request's lifecycle tells whether it may have run. */
    data class Failed(val failure: RequestFailure, val kind: FailureKind) : AttemptResult
}

/** The cause of a failed attempt, from which the health of the backend server is updated. */
internal enum class FailureKind { CONNECT, STALE_CONNECTION, DEADLINE, BROKEN, CALLER }

/** The body of a backend server's response. */
internal sealed interface BackendResponseBody {
    /** A body that was received completely. */
    class Buffered(val bytes: ByteArray) : BackendResponseBody

    /** A body that is still being received; reading [stream] fails if it arrives truncated. */
    class Streamed(val stream: InputStream, val length: Long?, val isComplete: () -> Boolean) :
        BackendResponseBody
}
