/**
 * Shows that a worker has vouched for no heartbeat that the last owner announced.
 *
 * An owner counts such a heartbeat only if a quorum of workers have answered a poll with a raised
 * token a while before it, and another one after it ([FleetWorker.vouchesFor]). A worker that accepts
 * the probe's [token], which is lower, has seen no raised one, nor has it answered a poll sent after a
 * heartbeat that was announced that while later, if it rejects the last owner by then.
 */
package sycamoremast.coordination.workflow

internal class AnnouncementProbe(val token: Long) {
    var isSent = false

    /** The worker's report by which it has accepted this probe, or null. */
    private var accepted: WorkerReport? = null

    /** The first report after which the worker rejects the last owner, or null. */
    private var fenced: WorkerReport? = null

    /** Records the [report] of the worker that has accepted this probe. */
    fun onAccepted(report: WorkerReport) {
        if (fenced == null) accepted = report
    }

    /** Records a [report] of the worker that answers an order of this owner. */
    fun onFenced(report: WorkerReport) {
        if (fenced == null) fenced = report
    }

    /**
     * Whether the worker has vouched for no heartbeat that was announced after [sinceMillis], by the
     * clock by which its reports were received.
     *
     * An incarnation that began later doesn't tell what the one before has vouched for. The time
     * between both reports is measured on the worker's clock, as the one of a suspended host stands
     * still.
     */
    fun excludesAfter(sinceMillis: Long): Boolean {
        val first = accepted ?: return false
        val second = fenced ?: return false
        if (first.startedUnixMillis != second.startedUnixMillis) return false
        val bornByMillis = first.receivedMillis - first.clockMillis
        return second.clockMillis - first.clockMillis in 0..LONGEST_MILLIS &&
            bornByMillis + BIRTH_MARGIN_MILLIS <= sinceMillis
    }

    companion object {
        /** How long before a heartbeat a worker has to answer a raised token, by any clock. */
        const val VOUCH_DELAY_MILLIS = 250L

        /** Shorter than [VOUCH_DELAY_MILLIS] also if both clocks are wrong. */
        private const val LONGEST_MILLIS = 200L

        /** Covers how far clocks may drift apart until a successor asks. */
        private const val BIRTH_MARGIN_MILLIS = 1_000L
    }
}
