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

/** Runs the batch jobs of this daemon's availability zone, together with the zone's others. */
interface BatchScheduler {
    /** Begins to own shards of workers as they come free. */
    fun start()

    /** Hands over the shards and ends; the tasks go on running. */
    fun stop()

    /**
     * Returns the batch jobs of [team], or of every team.
     *
     * The owners of their shards are asked; a job whose owner gives no answer in time is shown as
     * unconfirmed.
     */
    fun jobs(team: String?): List<JobView>

    /** Returns the job after its cancellation by [operator] is durable, or why it is not. */
    fun cancel(team: String, job: String, operator: String): Either<ErrorView, JobView>

    /** Returns why no task of [job] could ever run under [quota], or null if one could. */
    fun whyNeverFits(team: String, job: Job, quota: Quota): String?

    /** Returns the shards that this daemon owns. */
    fun shards(): List<ShardView>
}

/** What a batch scheduler works with. */
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

/** Returns a batch scheduler, which does nothing before it is started. */
fun batchScheduler(ports: BatchPorts, settings: BatchSettings): BatchScheduler =
    ShardedBatchScheduler(ports, settings)
