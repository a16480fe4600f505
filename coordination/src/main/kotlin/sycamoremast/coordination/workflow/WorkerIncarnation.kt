/**
 * Which incarnation of a worker the owner knows, and how certain that is.
 *
 * A worker that restarts under its ID has another clock, numbers the ends of its runs from 1 again
 * and has seen no fencing token. Nothing that belongs to one incarnation is used in another.
 */
package sycamoremast.coordination.workflow

internal class WorkerIncarnation {
    /** When the incarnation started that reported last, or null if it has not told. */
    var startedUnixMillis: Long? = null
        private set

    /** When the incarnation started that an earlier owner introduced, or null if that is unknown. */
    var inheritedStartUnixMillis: Long? = null

    /** The token of the last order that this incarnation has answered by a report. */
    var acceptedToken = Long.MIN_VALUE
        private set

    /** When the last report was processed, or null if a call has failed since. */
    var lastReportMillis: Long? = null
        private set

    /** Whether a call has failed since the last report, so that the worker may have restarted. */
    val isInDoubt: Boolean get() = lastReportMillis == null

    /** Whether an earlier owner has introduced the incarnation that reported last. */
    val isInherited: Boolean
        get() = startedUnixMillis != null && startedUnixMillis == inheritedStartUnixMillis

    /**
     * Whether the worker is certainly still in the incarnation of its last report.
     *
     * If an end of the earlier incarnation were acknowledged to the next one, that would discard ends
     * that the owner has not read. A restart during a poll makes the poll fail, so a restart goes
     * unnoticed only between a report and the next poll.
     */
    fun isKnown(nowMillis: Long): Boolean =
        sinceReportMillisOrNull(nowMillis)?.let { it <= PROOF_MILLIS } ?: false

    /** Returns how long ago the last report was processed, or null if a call has failed since. */
    fun sinceReportMillisOrNull(nowMillis: Long): Long? = lastReportMillis?.let { nowMillis - it }

    /** Whether [startedMillis] shows another incarnation than that of the last report. */
    fun isOther(startedMillis: Long?): Boolean =
        startedMillis != null && startedUnixMillis != null && startedMillis != startedUnixMillis

    /** Whether [listing] was written by a later incarnation than the one that reported last. */
    fun isBefore(listing: WorkerListing): Boolean {
        val reported = startedUnixMillis ?: return false
        return listing.startedUnixMillis?.let { it > reported } ?: false
    }

    /** Whether [listing] is one of another incarnation than the last owner introduced. */
    fun isUnknownToLastOwner(listing: WorkerListing): Boolean = listing.startedUnixMillis != null &&
        inheritedStartUnixMillis != null &&
        listing.startedUnixMillis != inheritedStartUnixMillis

    /**
     * Records the start time of the reporting incarnation; returns whether the worker restarted.
     */
    fun updateStart(startedMillis: Long?): Boolean {
        val isOther = isOther(startedMillis)
        if (startedMillis != null) startedUnixMillis = startedMillis
        return isOther
    }

    /** Records that this incarnation rejects orders with lower tokens than [token]. */
    fun recordToken(token: Long) {
        acceptedToken = maxOf(acceptedToken, token)
    }

    /** Records that the present incarnation has accepted no token yet. */
    fun forgetToken() {
        acceptedToken = Long.MIN_VALUE
    }

    /** Records a report that was processed at [nowMillis]. */
    fun recordReport(nowMillis: Long) {
        lastReportMillis = nowMillis
    }

    /** Records that the worker may have restarted. */
    fun doubt() {
        lastReportMillis = null
    }

    companion object {
        /** Assumed to be too short for a restart followed by a complete run. */
        const val PROOF_MILLIS = 200L
    }
}
