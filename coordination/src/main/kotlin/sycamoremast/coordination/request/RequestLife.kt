/**
 * The life of a request, from its receipt to its outcome.
 *
 * The chart in the resource `request.scxml` decides what a failure means at each step. A state
 * whose name starts with `RETRY_` follows an attempt that may have run, so that a failure there
 * leaves the outcome unknown even if the present attempt certainly did not run.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.statechart.StateChart

/** Where a request stands. */
enum class RequestState {
    RECEIVED,
    CLAIMING,
    QUEUED,
    CONNECTING,
    SENDING,
    AWAITING,
    RECEIVING,
    REFUSED,
    RETRY_QUEUED,
    RETRY_CONNECTING,
    RETRY_SENDING,
    RETRY_AWAITING,
    RETRY_REFUSED,
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    MALFORMED
}

/** What happens to a request. */
enum class RequestEvent {
    REJECT,
    CLAIM,
    REPLAY,
    DISPUTE,
    QUEUE,
    DISPATCH,
    SEND,
    SENT,
    ANSWER_BEGUN,
    COMPLETE,
    REFUSE,
    RETRY,
    FAIL
}

/**
 * A request's current [state], changed only as the chart allows.
 *
 * Not safe for use by several threads at once.
 */
class RequestLife {
    /** The state that the last event led to. */
    var state: RequestState = CHART.initial
        private set

    /** Returns whether the request has its outcome. */
    val isOver: Boolean get() = state in CHART.finals

    /** Returns whether the request certainly did not run, should it fail now. */
    val isCertainlyNotRun: Boolean
        get() = CHART.nextOrNull(state, RequestEvent.FAIL) == RequestState.NOT_RUN

    /**
     * Returns the state that follows on [event].
     *
     * @throws IllegalStateException if the chart does not allow [event] in the present state
     */
    fun on(event: RequestEvent): RequestState {
        state = CHART.next(state, event).fold({ error("$it is not in the chart") }, { it })
        return state
    }

    companion object {
        /** The chart of a request's life. */
        val CHART: StateChart<RequestState, RequestEvent> = StateChart.fromResource(
            "/sycamoremast/coordination/request/request.scxml",
            RequestState::class,
            RequestEvent::class
        )
    }
}
