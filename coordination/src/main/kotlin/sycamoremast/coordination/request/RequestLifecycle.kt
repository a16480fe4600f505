/**
 * The lifecycle of a request, from receipt to outcome.
 *
 * The state chart in the resource `request.scxml` defines the outcome of a failure in each state.
 * The states whose names start with `RETRY_` follow an attempt that may have run, so a failure in
 * one of them leaves the outcome unknown even if the current attempt certainly did not run.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.statechart.StateChart

/** The state of a request; the names match the state identifiers in `request.scxml`. */
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

/** An event of a request; the names match the event identifiers in `request.scxml`. */
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
 * The current [state] of one request, which changes only by transitions of the state chart.
 *
 * Not safe for use by several threads at once.
 */
class RequestLifecycle {
    /** The state after the last event. */
    var state: RequestState = CHART.initial
        private set

    /** Whether the request has its final outcome. */
    val isFinal: Boolean get() = state in CHART.finals

    /** Whether a failure in the current state proves that the request did not run. */
    val isCertainlyNotRun: Boolean
        get() = CHART.nextOrNull(state, RequestEvent.FAIL) == RequestState.NOT_RUN

    /**
     * Takes the transition for [event] and returns the new state.
     *
     * @throws IllegalStateException if the chart has no transition for [event] in the current state
     */
    fun on(event: RequestEvent): RequestState {
        state = CHART.next(state, event).fold({ error("not in state chart: $it") }, { it })
        return state
    }

    companion object {
        /** The state chart of a request. */
        val CHART: StateChart<RequestState, RequestEvent> = StateChart.fromResource(
            "/sycamoremast/coordination/request/request.scxml",
            RequestState::class,
            RequestEvent::class
        )
    }
}
