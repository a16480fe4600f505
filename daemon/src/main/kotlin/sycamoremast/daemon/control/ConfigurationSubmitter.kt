/** Accepts each submitted configuration with a single compare-and-swap. */
package sycamoremast.daemon.control

import arrow.core.Either
import arrow.core.flatMap
import java.util.concurrent.ConcurrentHashMap
import org.tinylog.kotlin.Logger
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.coordination.document.ChangeRefusal
import sycamoremast.coordination.document.ConfigurationChange
import sycamoremast.coordination.document.ConfigurationDocument
import sycamoremast.coordination.store.CommitOutcome
import sycamoremast.coordination.store.DocumentWriter
import sycamoremast.daemon.log.event

/** The outcome of submitting a configuration. */
sealed interface SubmitOutcome {
    /** It is accepted and durable at [revision]; [changed] is false if it was already in place. */
    data class Accepted(val revision: Long, val changed: Boolean) : SubmitOutcome

    /** Another change was accepted first: [current], or null if the team has no document. */
    data class LostRace(val current: DocumentView?) : SubmitOutcome

    /** It was rejected because of [errors]. */
    data class Invalid(val errors: List<String>) : SubmitOutcome

    /** It was not accepted; if [outcomeUnknown], it may have been accepted nonetheless. */
    data class Failed(
        val step: String,
        val peer: String,
        val reason: String,
        val outcomeUnknown: Boolean
    ) : SubmitOutcome
}

/** Submits configurations to the key-value service on behalf of operators. */
internal class ConfigurationSubmitter(
    private val context: ControlContext,
    private val replica: ConfigurationReplica,
    private val audit: AuditTrail
) {
    private val writers = ConcurrentHashMap<String, DocumentWriter>()

    fun submit(team: String, fromRevision: Long, text: String, operator: String): SubmitOutcome {
        val errors = configurationErrors(team, text).leftOrNull()
        if (errors != null) return SubmitOutcome.Invalid(errors)
        val now = context.wallClockMillis()
        return write(ConfigurationChange(team, fromRevision, text, operator, now))
    }

    private fun write(change: ConfigurationChange): SubmitOutcome {
        var accepted: ConfigurationDocument? = null
        val outcome = writerOf(change.team).commit { body ->
            val known = replica.documentInForce(change.team)
            val next = parseStored(body).flatMap { change.applyTo(it, known) }
            accepted = next.getOrNull()
            next.map { it.print() }
        }
        Logger.info {
            event(
                "configuration-submitted",
                "team" to change.team,
                "from" to change.fromRevision,
                "operator" to change.operator,
                "outcome" to outcome::class.simpleName
            )
        }
        return when (outcome) {
            is CommitOutcome.Committed -> recordAccepted(checkNotNull(accepted))

            is CommitOutcome.Rejected -> outcomeOf(outcome.rejection)

            is CommitOutcome.NotCommitted ->
                SubmitOutcome.Failed(outcome.step, outcome.peer, outcome.reason, false)

            is CommitOutcome.Unknown ->
                SubmitOutcome.Failed(outcome.step, outcome.peer, outcome.reason, true)
        }
    }

    private fun writerOf(team: String) =
        writers.computeIfAbsent(team) { context.writer(ControlKeys.configuration(it)) }

    private fun parseStored(body: String?): Either<ChangeRefusal, ConfigurationDocument?> {
        if (body == null) return Either.Right(null)
        return ConfigurationDocument.parse(body).mapLeft { ChangeRefusal.Unreadable(it) }
    }

    private fun recordAccepted(document: ConfigurationDocument): SubmitOutcome {
        replica.offer(document.print(), "submit")
        audit.record(document.auditedChange())
        return SubmitOutcome.Accepted(document.revision, changed = true)
    }

    private fun outcomeOf(refusal: ChangeRefusal): SubmitOutcome = when (refusal) {
        is ChangeRefusal.AlreadyAccepted -> SubmitOutcome.Accepted(refusal.revision, true)

        is ChangeRefusal.Unchanged -> SubmitOutcome.Accepted(refusal.revision, false)

        is ChangeRefusal.LostRace -> SubmitOutcome.LostRace(refusal.current?.toView())

        is ChangeRefusal.Unreadable -> SubmitOutcome.Failed(
            "decode",
            "key-value service",
            "the stored document can't be read by this version: ${refusal.document.reason}",
            false
        )
    }
}

internal fun ConfigurationDocument.auditedChange() =
    AuditedChange(operator, SUBMIT_ACTION, team, fromRevision, revision)

internal const val SUBMIT_ACTION = "submit"
