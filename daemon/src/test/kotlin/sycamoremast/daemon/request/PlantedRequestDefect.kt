/** Defects of the request path, planted through its ports. */
package sycamoremast.daemon.request

import arrow.core.right
import sycamoremast.configuration.Service
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.SwapOutcome

internal enum class PlantedRequestDefect(val text: String, val symptom: String) {
    NOT_IDEMPOTENT_RETRIED(
        "a request that is not idempotent is sent again after a reset",
        "plain RESET ran twice"
    ),
    CLAIM_NOT_DURABLE(
        "a request is dispatched before its idempotency claim is durable",
        "NONE ran twice"
    ),
    TRUNCATED_ANSWER_PASSED_ON(
        "an answer that was cut short is passed on as whole",
        "CUT_SHORT got 'paid'"
    ),
    ANSWER_OF_ANOTHER_PASSED_ON(
        "the answer to another request is passed on",
        "OTHER_ID got 'paid another'"
    ),
    RUN_SAID_NOT_RUN(
        "a request that ran is said not to have run",
        "plain NONE ran, but was said not to"
    ),
    SHARE_COUNTED_TWICE(
        "two hosts count the same slots as theirs",
        "requests came beyond the slots"
    );

    /** Returns [service] as the defective path sees it. */
    fun plantedIn(service: Service): Service {
        if (this != NOT_IDEMPOTENT_RETRIED) return service
        return service.copy(routes = service.routes.map { it.copy(idempotent = true) })
    }

    /** Returns [store] as the defective path sees it. */
    fun plantedIn(store: KeyValueStore): KeyValueStore {
        if (this != CLAIM_NOT_DURABLE) return store
        return object : KeyValueStore by store {
            override fun compareAndSwap(k: String, expected: Long, value: String, l: LeaseId?) =
                SwapOutcome.Applied(expected + 1).right()
        }
    }
}

/** Records the outcomes that callers got, to check them against the runs of a backend server. */
internal class RequestRecorder {
    class Call(val sent: String, val outcome: String?, val answer: String)

    private val calls = mutableListOf<Call>()

    /** Records that the caller that sent the body [sent] got [outcome] and the body [answer]. */
    fun record(sent: String, outcome: String?, answer: String) {
        calls += Call(sent, outcome, answer)
    }

    /** Returns the violated guarantees, given [ran], the request bodies that the server ran. */
    fun violations(ran: List<String>): List<String> =
        ran.groupingBy { it }.eachCount().filterValues { it > 1 }.map { "${it.key} ran twice" } +
            calls.filter { it.outcome == "not-run" && it.sent in ran }
                .map { "${it.sent} ran, but was said not to" } +
            calls.filter { it.outcome == "answered" && it.answer != "paid ${it.sent}" }
                .map { "${it.sent} got '${it.answer}'" }
}
