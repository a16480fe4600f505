/**
 * What a team has submitted: its quota, its services and its batch jobs.
 *
 * These are immutable values; [sycamoremast.configuration] prints them as INI and reads them back.
 */
package sycamoremast.configuration

import kotlin.time.Duration

/** The whole configuration of one team. */
data class TeamConfiguration(
    val team: String,
    val quota: Quota,
    val services: List<Service> = emptyList(),
    val jobs: List<Job> = emptyList()
)

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
