/** What all hosts follow of a worker set's owner beside its key. */
package sycamoremast.daemon.workflow

/** A record that does not end with the owner's lease, at a key that ends with [segment]. */
internal enum class OwnerDetail(val segment: String) {
    /** The version of the newest roster. */
    ROSTER("roster"),

    /** The version of the last heartbeat. */
    HEARTBEAT("heartbeat"),

    /** The host and epoch of the last claim. */
    LAST_CLAIM("last-claim")
}
