/** The causes for which a workflow may end as failed. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/** Why the scheduler gave up a task, and with it the task's workflow. */
@Serializable
enum class FailureReason {
    /** Runs of the task failed, as often as the queue's policy allows. */
    ATTEMPTS_USED_UP,

    /** Workers crashed while they ran the task. */
    WORKERS_CRASHED
}
