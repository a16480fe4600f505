/** The incarnation of the process that runs for a host. */
package sycamoremast.coordination.membership

/**
 * Holds this process's incarnation, which starts at [first].
 *
 * Until the incarnation is established, it is raised above any other that is observed for the same
 * host: the other process must have ended, since this one was started to replace it. Afterwards a
 * higher one means that this process itself has been replaced, unless [isOnlyProcess] is set. Then
 * no two processes run for a host at a time, so that any other incarnation belongs to an earlier
 * process whose clock was ahead.
 */
class IncarnationClaim(first: Long, private val isOnlyProcess: Boolean = false) {
    private var current = first
    private var established = false
    private var replacedBy = 0L

    /** The incarnation under which this process registers and introduces itself to peers. */
    val value: Long
        @Synchronized get() = current

    /** The higher incarnation that has replaced this process, or null. */
    val supersededBy: Long?
        @Synchronized get() = replacedBy.takeIf { it > current }

    /** Marks the incarnation as accepted by the registry or a peer. */
    @Synchronized
    fun establish() {
        established = true
    }

    /** Records that [seen] is in use for this host; returns whether [value] was raised. */
    @Synchronized
    fun observe(seen: Long): Boolean {
        if (seen <= current) return false
        if (established && !isOnlyProcess) {
            replacedBy = maxOf(replacedBy, seen)
            return false
        }
        current = seen + 1
        return true
    }
}
