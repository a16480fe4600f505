/** Tests the state chart of a request. */
package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.request.RequestEvent.ANSWER_BEGUN
import sycamoremast.coordination.request.RequestEvent.COMPLETE
import sycamoremast.coordination.request.RequestEvent.DISPATCH
import sycamoremast.coordination.request.RequestEvent.FAIL
import sycamoremast.coordination.request.RequestEvent.QUEUE
import sycamoremast.coordination.request.RequestEvent.REFUSE
import sycamoremast.coordination.request.RequestEvent.RETRY
import sycamoremast.coordination.request.RequestEvent.SEND
import sycamoremast.coordination.request.RequestEvent.SENT

class RequestLifecycleTest {
    @Test
    fun `every state is reachable and leads to an outcome`() {
        expectThat(RequestLifecycle.CHART.unreachable()).isEmpty()
        expectThat(RequestLifecycle.CHART.deadEnds()).isEmpty()
    }

    @Test
    fun `every state that is not final allows a failure`() {
        val states = RequestLifecycle.CHART.states - RequestLifecycle.CHART.finals
        expectThat(states.filter { RequestLifecycle.CHART.nextOrNull(it, FAIL) == null }).isEmpty()
    }

    @Test
    fun `only failures before the first byte or after refusals lead to not run`() {
        val notRun = RequestLifecycle.CHART.states.filter {
            RequestLifecycle.CHART.nextOrNull(it, FAIL) == RequestState.NOT_RUN
        }
        expectThat(notRun).containsExactlyInAnyOrder(
            RequestState.RECEIVED,
            RequestState.CLAIMING,
            RequestState.QUEUED,
            RequestState.CONNECTING,
            RequestState.REFUSED
        )
    }

    @Test
    fun `a refused retry after an attempt that may have run leaves the outcome unknown`() {
        val lifecycle = lifecycleAfter(QUEUE, DISPATCH, SEND, RETRY, DISPATCH, SEND, SENT, REFUSE)
        expectThat(lifecycle.isCertainlyNotRun).isFalse()
        expectThat(lifecycle.on(FAIL)).isEqualTo(RequestState.UNKNOWN)
    }

    @Test
    fun `a refused retry after only refused attempts proves that the request did not run`() {
        val lifecycle =
            lifecycleAfter(QUEUE, DISPATCH, SEND, REFUSE, RETRY, DISPATCH, SEND, SENT, REFUSE)
        expectThat(lifecycle.isCertainlyNotRun).isTrue()
        expectThat(lifecycle.on(FAIL)).isEqualTo(RequestState.NOT_RUN)
    }

    @Test
    fun `a complete response is final`() {
        val lifecycle = lifecycleAfter(QUEUE, DISPATCH, SEND, SENT, ANSWER_BEGUN, COMPLETE)
        expectThat(lifecycle.isFinal).isTrue()
        assertThrows<IllegalStateException> { lifecycle.on(RETRY) }
    }

    private fun lifecycleAfter(vararg events: RequestEvent) =
        RequestLifecycle().apply { events.forEach { on(it) } }
}
