/** The commands that stop jobs and daemons: job cancel and drain. */
package sycamoremast.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.check
import sycamoremast.configuration.NameRule
import sycamoremast.configuration.operator.DrainView
import sycamoremast.configuration.operator.JobView

internal class JobCommand : CliktCommand(name = "job") {
    override fun help(context: Context) = "Changes a batch job"

    override fun run() = Unit
}

internal class CancelCommand : DaemonCommand("cancel", "Cancels a batch job") {
    private val team by argument().check("the name ${NameRule.TEXT}", NameRule::matches)
    private val job by argument().check("the name ${NameRule.TEXT}", NameRule::matches)

    override fun call() {
        val view = session.client.cancel(team, job).orExit()
        write(view, JobView.serializer()) { jobTable(listOf(view)) }
    }
}

internal class DrainCommand :
    DaemonCommand("drain", "Begins the graceful shutdown of the one daemon that is named") {
    override fun call() {
        if (session.daemons.size > 1) throw UsageError("name one daemon to drain, not several")
        val view = session.client.drain().orExit()
        write(view, DrainView.serializer()) {
            "${view.host}: draining, ${view.requestsInProgress} requests in progress"
        }
    }
}
