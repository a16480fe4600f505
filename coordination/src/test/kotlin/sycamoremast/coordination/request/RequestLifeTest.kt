/** The chart of a request's life. */
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

class RequestLifeTest {
    @Test
    fun `every state is reachable and leads to an outcome`() {
        expectThat(RequestLife.CHART.unreachable()).isEmpty()
        expectThat(RequestLife.CHART.deadEnds()).isEmpty()
    }

    @Test
    fun `every state on the way can fail`() {
        val stuck = RequestLife.CHART.states - RequestLife.CHART.finals
        expectThat(stuck.filter { RequestLife.CHART.nextOrNull(it, FAIL) == null }).isEmpty()
    }

    @Test
    fun `a failure is not run only before the first byte or after refusals`() {
        val notRun = RequestLife.CHART.states.filter {
            RequestLife.CHART.nextOrNull(it, FAIL) == RequestState.NOT_RUN
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
    fun `a refused retry of an attempt that may have run leaves the outcome unknown`() {
        val life = lifeAfter(QUEUE, DISPATCH, SEND, RETRY, DISPATCH, SEND, SENT, REFUSE)
        expectThat(life.isCertainlyNotRun).isFalse()
        expectThat(life.on(FAIL)).isEqualTo(RequestState.UNKNOWN)
    }

    @Test
    fun `a refused retry of refused attempts is not run`() {
        val life = lifeAfter(QUEUE, DISPATCH, SEND, REFUSE, RETRY, DISPATCH, SEND, SENT, REFUSE)
        expectThat(life.isCertainlyNotRun).isTrue()
        expectThat(life.on(FAIL)).isEqualTo(RequestState.NOT_RUN)
    }

    @Test
    fun `a whole answer ends the life`() {
        val life = lifeAfter(QUEUE, DISPATCH, SEND, SENT, ANSWER_BEGUN, COMPLETE)
        expectThat(life.isOver).isTrue()
        assertThrows<IllegalStateException> { life.on(RETRY) }
    }

    private fun lifeAfter(vararg events: RequestEvent) =
        RequestLife().apply { events.forEach { on(it) } }
}
