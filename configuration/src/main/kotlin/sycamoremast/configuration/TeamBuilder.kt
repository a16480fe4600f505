/**
 * A Kotlin DSL in which operators write a team's configuration as a program.
 *
 * [team] returns the validated configuration; operators submit its [TeamConfiguration.toIni] text.
 */
package sycamoremast.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlin.time.Duration

/** Marks the builders, so that a nested block can't call functions of an enclosing builder. */
@DslMarker
annotation class ConfigurationDsl

/**
 * Returns the configuration of the team [name] that [build] describes, or all validation errors.
 */
fun team(
    name: String,
    build: TeamBuilder.() -> Unit
): Either<NonEmptyList<ConfigurationError>, TeamConfiguration> {
    val configuration = TeamBuilder(name).apply(build).build()
    return configuration.validate().toNonEmptyListOrNull()?.left() ?: configuration.right()
}

/** Builds a [TeamConfiguration]. */
@ConfigurationDsl
class TeamBuilder internal constructor(private val name: String) {
    private var quota = Quota(0, 0, 0)
    private val services = mutableListOf<Service>()
    private val jobs = mutableListOf<Job>()

    /** Sets the most resources that the team's batch tasks may hold at the same time. */
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

/** Builds a [Service]; [deadline] is required. */
@ConfigurationDsl
class ServiceBuilder internal constructor(private val name: String) {
    /** The deadline of requests whose caller gave none. */
    var deadline: Duration = Duration.ZERO

    /** The retry budget: the percentage of requests that may be retried. */
    var retryPercent: Int = Service.DEFAULT_RETRY_PERCENT
    private val routes = mutableListOf<Route>()

    /** Adds the route [name] for paths that start with [pathPrefix]. */
    fun route(name: String, pathPrefix: String, expected: Duration, idempotent: Boolean = false) {
        routes += Route(name, pathPrefix, expected, idempotent)
    }

    internal fun build() = Service(name, deadline, routes.toList(), retryPercent)
}

/** Builds a [Job]; [availabilityZone], [resources] and [expected] are required. */
@ConfigurationDsl
class JobBuilder internal constructor(private val name: String) {
    /** The availability zone in which the job runs. */
    var availabilityZone: String = ""

    /** The number of tasks, which all have the same size. */
    var tasks: Int = 1

    /** The expected run time of a task. */
    var expected: Duration = Duration.ZERO

    /** Whether a task may be run again after its worker is lost. */
    var repeat: Repeat = Repeat.FROM_CHECKPOINT

    /** How soon the tasks have to start. */
    var urgency: Urgency = Urgency.NORMAL

    /** How long its zone must be cut off before the job may move to another; null for never. */
    var moveAfter: Duration? = null

    /** The command that the worker runs. */
    var command: String = ""
    private var taskResources = Quota(0, 0, 0)

    /** Sets the resources that each task reserves on its worker. */
    fun resources(milliCpus: Long, memoryMib: Long, accelerators: Long = 0) {
        taskResources = Quota(milliCpus, memoryMib, accelerators)
    }

    internal fun build() = Job(
        name,
        availabilityZone,
        tasks,
        taskResources.milliCpus,
        taskResources.memoryMib,
        taskResources.accelerators,
        expected,
        repeat,
        urgency,
        moveAfter,
        command
    )
}
