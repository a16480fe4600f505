/** What an owner keeps in memory of workflows of which nothing is left to do. */
package sycamoremast.coordination.workflow

/** A workflow that ended as [phase] at [endedUnixMillis], which is durable and has no runs left. */
internal class EndedWorkflow(val phase: WorkflowPhase, val endedUnixMillis: Long)
