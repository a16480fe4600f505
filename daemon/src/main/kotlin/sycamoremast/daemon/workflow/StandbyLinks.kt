/** The link of a worker set's owner to the hosts that may succeed it. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.SchedulerAction

/** Tells the scheduler which hosts may succeed this one, and announces heartbeats to them. */
internal interface StandbyLinks {
    /** This process. */
    val self: HostProcess

    /** The processes of all registered hosts, this one included; none before they are known. */
    val registeredProcesses: Set<HostProcess>

    /** Sends [heartbeat] to its standbys; returns at once. */
    fun announce(heartbeat: SchedulerAction.Announce)

    /** Sends [question] to its standbys and the last owner's host; returns at once. */
    fun ask(question: SchedulerAction.AskStandbys)

    /** The absence of peers. */
    object None : StandbyLinks {
        override val self = HostProcess("")
        override val registeredProcesses = emptySet<HostProcess>()

        override fun announce(heartbeat: SchedulerAction.Announce) = Unit

        override fun ask(question: SchedulerAction.AskStandbys) = Unit
    }
}
