/** The interface of the configuration replica for the rest of the daemon. */
package sycamoremast.daemon.control

import sycamoremast.configuration.TeamConfiguration

/** Provides the accepted configuration that is in force on this host. */
interface ConfigurationView {
    /** Returns the newest configuration of each team, by team. */
    fun inForce(): Map<String, AppliedConfiguration>

    /**
     * Calls [listener] immediately for each team in force and then after each change.
     *
     * The revisions passed for a team never decrease.
     */
    fun onApplied(listener: (AppliedConfiguration) -> Unit)
}

/** The configuration of a [team] at a [revision]. */
data class AppliedConfiguration(
    val team: String,
    val revision: Long,
    val configuration: TeamConfiguration
)
