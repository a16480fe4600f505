/** What the rest of the daemon sees of the configuration replica. */
package sycamoremast.daemon.control

import sycamoremast.configuration.TeamConfiguration

/** The accepted configuration as it is in force on this host. */
interface ConfigurationView {
    /** Returns the newest configuration of each team, by team. */
    fun inForce(): Map<String, AppliedConfiguration>

    /** Calls [listener] after each change, and once at once; never with a lower revision. */
    fun onApplied(listener: (AppliedConfiguration) -> Unit)
}

/** A team's configuration at a [revision]. */
data class AppliedConfiguration(
    val team: String,
    val revision: Long,
    val configuration: TeamConfiguration
)
