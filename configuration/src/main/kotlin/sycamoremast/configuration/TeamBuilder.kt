/**
 * A small language in which operators write a team's configuration as a program.
 *
 * [team] returns the checked value, whose [TeamConfiguration.toIni] is what they submit.
 */
package sycamoremast.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlin.time.Duration

/** Marks the builders, so that an inner block can't call an outer block's functions. */
@DslMarker
annotation class ConfigurationDsl

/**
 * Returns the configuration of the team [name] that [build] describes, or all of its errors.
 *
 */
fun team(
    name: String,
    build: TeamBuilder.() -> Unit
): Either<NonEmptyList<ConfigurationError>, TeamConfiguration> {
    val configuration = TeamBuilder(name).apply(build).build()
    return configuration.check().toNonEmptyListOrNull()?.left() ?: configuration.right()
}

/** Builds a [TeamConfiguration]. */
@ConfigurationDsl
class TeamBuilder internal constructor(private val name: String) {
    private var quota = Quota(0, 0, 0)
    private val services = mutableListOf<Service>()
    private val jobs = mutableListOf<Job>()

    /** Sets the most that the team's batch tasks may hold at one time. */
    fun quota(milliCpus: Long, memoryMib: Long, accelerators: Long = 0) {
        quota = Quota(milliCpus, memoryMib, accelerators)
    }

    /** Adds the service [name]. */
    fun service(name: String, build: ServiceBuilder.() -> Unit) {
        services += ServiceBuilder(name).apply(build).build()
    }

    /** Adds the batch job [name]. */
    fun job(name: String, build: JobBuilder.() -> Unit) {
        jobs += JobBuilder(name).apply(build).build()
    }

    internal fun build() = TeamConfiguration(name, quota, services.toList(), jobs.toList())
}

/** Builds a [Service]; its [deadline] has to be set. */
@ConfigurationDsl
class ServiceBuilder internal constructor(private val name: String) {
    /** Bounds a request whose caller gave no deadline. */
    var deadline: Duration = Duration.ZERO

    /** The share of requests that may be retried. */
    var retryPercent: Int = Service.DEFAULT_RETRY_PERCENT
    private val routes = mutableListOf<Route>()

    /** Adds the route [name] for paths that start with [pathPrefix]. */
    fun route(name: String, pathPrefix: String, expected: Duration, idempotent: Boolean = false) {
        routes += Route(name, pathPrefix, expected, idempotent)
    }

    internal fun build() = Service(name, deadline, routes.toList(), retryPercent)
}

/** Builds a [Job]; its zone, its tasks' size and their [expected] run time have to be set. */
@ConfigurationDsl
class JobBuilder internal constructor(private val name: String) {
    /** Where the job runs. */
    var availabilityZone: String = ""

    /** The number of equal tasks. */
    var tasks: Int = 1

    /** The expected run time of a task. */
    var expected: Duration = Duration.ZERO

    /** Whether a task may be run again after its worker was lost. */
    var repeat: Repeat = Repeat.FROM_CHECKPOINT

    /** How soon the tasks have to start. */
    var urgency: Urgency = Urgency.NORMAL

    /** After how long a cut of its zone the job may move to another; null for never. */
    var moveAfter: Duration? = null

    /** What the worker is told to run. */
    var command: String = ""
    private var size = Quota(0, 0, 0)

    /** Sets what each task holds on its worker. */
    fun resources(milliCpus: Long, memoryMib: Long, accelerators: Long = 0) {
        size = Quota(milliCpus, memoryMib, accelerators)
    }

    internal fun build() = Job(
        name,
        availabilityZone,
        tasks,
        size.milliCpus,
        size.memoryMib,
        size.accelerators,
        expected,
        repeat,
        urgency,
        moveAfter,
        command
    )
}
