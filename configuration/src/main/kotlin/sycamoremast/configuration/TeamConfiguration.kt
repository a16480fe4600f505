/**
 * A team's configuration: its quota, its services and its batch jobs.
 *
 * All types are immutable. [team] builds and validates a configuration, [TeamConfiguration.toIni]
 * prints it as INI text, and [TeamConfiguration.parse] reads that text back.
 */
package sycamoremast.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import kotlin.time.Duration
import sycamoremast.configuration.ini.IniError

/** The configuration of one team. */
data class TeamConfiguration(
    val team: String,
    val quota: Quota,
    val services: List<Service> = emptyList(),
    val jobs: List<Job> = emptyList()
) {
    /** Returns this configuration as INI text, which parses back to an equal value. */
    fun toIni(): String = IniPrinter.print(this)

    /** Returns all errors of this configuration; an empty list means that it can be submitted. */
    fun validate(): List<ConfigurationError> = ConfigurationValidator(this).validate()

    companion object {
        /** The maximum size of a configuration's text in UTF-8. */
        const val MAX_TEXT_BYTES = 524_288

        /**
         * Returns the configuration written as INI in [text], or all errors in order of line.
         *
         * Unknown sections and keys are errors. The errors of [validate] are reported only if the
         * text parses. [file] names the source in error messages.
         */
        fun parse(file: String, text: String): Either<NonEmptyList<IniError>, TeamConfiguration> =
            TeamParser.parse(file, text)

        /** Returns the configuration written as INI in [text], or null if it has an error. */
        fun parseOrNull(text: String): TeamConfiguration? = parse("", text).getOrNull()
    }
}

/** The most resources that a team's batch tasks may hold at once, over all availability zones. */
data class Quota(val milliCpus: Long, val memoryMib: Long, val accelerators: Long = 0)

/**
 * A latency-critical service, served by the backend servers that the platform lists under [name].
 *
 * [deadline] applies to requests whose caller gave none. [retryPercent] is the retry budget: the
 * percentage of requests that may be retried.
 */
data class Service(
    val name: String,
    val deadline: Duration,
    val routes: List<Route> = emptyList(),
    val retryPercent: Int = DEFAULT_RETRY_PERCENT
) {
    companion object {
        /** The retry budget of services that set none, as a percentage of requests. */
        const val DEFAULT_RETRY_PERCENT = 10
    }
}

/**
 * A class of requests to a service, identified by their path prefix.
 *
 * [expected] is the operators' initial estimate of the run time; measured run times correct it.
 */
data class Route(
    val name: String,
    val pathPrefix: String,
    val expected: Duration,
    val idempotent: Boolean = false
)

/** Whether a job's tasks may be run again after their worker is lost. */
enum class Repeat { FROM_CHECKPOINT, NEVER }

/** How soon a job's tasks have to start. */
enum class Urgency { URGENT, NORMAL }

/**
 * A batch job of [tasks] tasks of the same size, identified permanently by its team and [name].
 *
 * The job runs in [availabilityZone]. [expected] is the expected run time of a task. A non-null
 * [moveAfter] lets the job move to another availability zone once its own has been cut off for
 * that long.
 */
data class Job(
    val name: String,
    val availabilityZone: String,
    val tasks: Int,
    val milliCpus: Long,
    val memoryMib: Long,
    val accelerators: Long = 0,
    val expected: Duration,
    val repeat: Repeat = Repeat.FROM_CHECKPOINT,
    val urgency: Urgency = Urgency.NORMAL,
    val moveAfter: Duration? = null,
    val command: String = ""
)
