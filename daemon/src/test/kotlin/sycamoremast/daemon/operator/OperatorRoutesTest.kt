package sycamoremast.daemon.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.DrainView
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.InvalidView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.configuration.operator.StatusView
import sycamoremast.configuration.operator.SubmitView

class OperatorRoutesTest {
    private val other = DocumentView("bktib", 4, "[team]", "liga", 1)

    @Test
    fun `each submission result has its own HTTP status`() {
        val view = ErrorView("write", "10.0.0.1:1", "no answer", 500, outcomeUnknown = true)
        val cases = listOf(
            SubmissionResult.Accepted(SubmitView("bktib", 5)) to Status.OK,
            SubmissionResult.LostRace(other) to Status.CONFLICT,
            SubmissionResult.Invalid(InvalidView(listOf("e"))) to Status.UNPROCESSABLE_ENTITY,
            SubmissionResult.Failed(view) to Status.GATEWAY_TIMEOUT,
            SubmissionResult.Failed(view.copy(outcomeUnknown = false)) to Status.SERVICE_UNAVAILABLE
        )
        cases.forEach { (result, status) ->
            val put = Request(Method.PUT, "/v1/teams/bktib/configuration?from=4").body("[team]")
            expectThat(operatorRoutes(FakeActions(result))(put).status).isEqualTo(status)
        }
    }

    @Test
    fun `malformed requests and unknown names are rejected with an error body`() {
        val handler = operatorRoutes(FakeActions(SubmissionResult.LostRace(other)))
        val cases = listOf(
            Request(Method.PUT, "/v1/teams/bktib/configuration") to Status.BAD_REQUEST,
            Request(Method.PUT, "/v1/teams/bktib/configuration?from=x") to Status.BAD_REQUEST,
            Request(Method.PUT, "/v1/teams/bktib/configuration?from=1").body("x".repeat(900_001))
                to Status.BAD_REQUEST,
            Request(Method.GET, "/v1/teams/bktib/confirmations") to Status.BAD_REQUEST,
            Request(Method.GET, "/v1/teams/nobody/configuration") to Status.NOT_FOUND,
            Request(Method.POST, "/v1/jobs/bktib/none/cancel") to Status.NOT_FOUND
        )
        cases.forEach { (request, status) ->
            val response = handler(request)
            expectThat(response.status).isEqualTo(status)
            expectThat(response.bodyString()).contains("step")
        }
    }

    private inner class FakeActions(private val result: SubmissionResult) : OperatorActions {
        override fun status() = StatusView("a", "gauja", 1, ready = true)

        override fun document(team: String): DocumentView? = null

        override fun submit(team: String, fromRevision: Long, text: String, operator: String) =
            result

        override fun confirmations(team: String, revision: Long, timeoutMillis: Long) =
            ConfirmationView(team, revision, listOf("a"), emptyList())

        override fun jobs(team: String?): Either<ErrorView, List<JobView>> =
            emptyList<JobView>().right()

        override fun cancel(team: String, job: String, operator: String) =
            ErrorView("cancel", "a", "no such job").left()

        override fun drain(operator: String) = DrainView("a", 0)

        override fun problems(): List<ProblemView> = emptyList()

        override fun audit(limit: Int): Either<ErrorView, List<AuditView>> =
            emptyList<AuditView>().right()
    }
}
