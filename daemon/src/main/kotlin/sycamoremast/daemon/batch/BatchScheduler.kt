/** The batch scheduler of one daemon. */
package sycamoremast.daemon.batch

import arrow.core.Either
import io.micrometer.core.instrument.MeterRegistry
import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.ShardView
import sycamoremast.coordination.HostList
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.WorkerPort
import sycamoremast.daemon.control.AuditTrail
import sycamoremast.daemon.control.ConfigurationView
import sycamoremast.daemon.control.MembershipView
import sycamoremast.daemon.control.ProblemReporter
import sycamoremast.daemon.peer.PeerNetwork

/** Runs the batch jobs of an availability zone, shared with the other daemons of the zone. */
interface BatchScheduler {
    /** Starts to take over shards of workers that have no owner. */
    fun start()

    /** Hands over the owned shards and stops; running tasks are not interrupted. */
    fun stop()

    /**
     * Returns the batch jobs of [team], or of every team.
     *
     * Queries the owners of the jobs' shards; a job is shown as unconfirmed if its owner does not
     * answer in time.
     */
    fun jobs(team: String?): List<JobView>

    /** Cancels a job for [operator]; returns its view once that is durable, or an error. */
    fun cancel(team: String, job: String, operator: String): Either<ErrorView, JobView>

    /** Returns why no task of [job] could ever run under [quota], or null if a task could run. */
    fun unschedulableReason(team: String, job: Job, quota: Quota): String?

    /** Returns the shards that this daemon owns. */
    fun shards(): List<ShardView>
}

/** The services that a batch scheduler depends on. */
data class BatchPorts(
    val configuration: ConfigurationView,
    val membership: MembershipView,
    val peers: PeerNetwork,
    val store: KeyValueStore,
    val hosts: HostList,
    val worker: (ListedHost) -> WorkerPort,
    val problems: ProblemReporter,
    val audit: AuditTrail,
    val meters: MeterRegistry,
    val clock: MonotonicClock = MonotonicClock.system()
)

/** Returns a batch scheduler that is not started yet. */
fun batchScheduler(ports: BatchPorts, settings: BatchSettings): BatchScheduler =
    ShardedBatchScheduler(ports, settings)
