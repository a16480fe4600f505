/**
 * What a team has submitted: its quota, its services and its batch jobs.
 *
 * These are immutable values. [team] builds and checks them, [TeamConfiguration.toIni] prints them
 * as INI, and [TeamConfiguration.parse] reads that back.
 */
package sycamoremast.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import kotlin.time.Duration
import sycamoremast.configuration.ini.IniError

/** The whole configuration of one team. */
data class TeamConfiguration(
    val team: String,
    val quota: Quota,
    val services: List<Service> = emptyList(),
    val jobs: List<Job> = emptyList()
) {
    /** Returns this configuration as INI text, which parses back to an equal value. */
    fun toIni(): String = IniPrinter.print(this)

    /** Returns all errors of this configuration; none means that it can be submitted. */
    fun check(): List<ConfigurationError> = ConfigurationCheck(this).errors()

    companion object {
        /** The most bytes that the text of a configuration may have. */
        const val MAX_TEXT_BYTES = 524_288

        /**
         * Returns the configuration that [text] holds.
         *
         * Sections and keys that are not known are errors. All errors are listed with the line in
         * [file], in order; those of [check] only if the text can be read.
         */
        fun parse(file: String, text: String): Either<NonEmptyList<IniError>, TeamConfiguration> =
            TeamParsing.parse(file, text)

        /** Returns the configuration that [text] holds, or null if it has an error. */
        fun parseOrNull(text: String): TeamConfiguration? = parse("", text).getOrNull()
    }
}

/** The most that a team's batch tasks may hold at one time, over all availability zones. */
data class Quota(val milliCpus: Long, val memoryMib: Long, val accelerators: Long = 0)

/**
 * A latency-critical service, answered by backend servers that the platform lists under [name].
 *
 * [deadline] bounds a request whose caller gave none. [retryPercent] is the share of requests that
 * may be retried.
 */
data class Service(
    val name: String,
    val deadline: Duration,
    val routes: List<Route> = emptyList(),
    val retryPercent: Int = DEFAULT_RETRY_PERCENT
) {
    companion object {
        /** The share of requests that may be retried unless a service says otherwise. */
        const val DEFAULT_RETRY_PERCENT = 10
    }
}

/**
 * A kind of request to a service, told apart by its path's prefix.
 *
 * [expected] is the operators' guess of its run time, which is corrected by what is measured.
 */
data class Route(
    val name: String,
    val pathPrefix: String,
    val expected: Duration,
    val idempotent: Boolean = false
)

/** Whether a job's tasks may be run again after their worker was lost. */
enum class Repeat { FROM_CHECKPOINT, NEVER }

/** How soon a job's tasks have to start. */
enum class Urgency { URGENT, NORMAL }

/**
 * A batch job of [tasks] equal tasks, identified by its team and [name] for ever.
 *
 * [availabilityZone] is where it runs; [moveAfter] opts in to being moved to another availability
 * zone once its own has been cut off for that long.
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
