/** What an owner may do by the state of its lease in the store. */
package sycamoremast.daemon.workflow

/** The state of an owner's lease, measured on the owner's clock from the last renewal. */
internal enum class LeaseState {
    /** No other host can be the owner. */
    VALID,

    /** Another host may be the owner; workers reject the orders of whichever is older. */
    LAPSED,

    /** Another owner counts on this one no longer giving orders. */
    OVER
}
