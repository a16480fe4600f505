/**
 * Tracks the planned hand-over of a shard to another host while its tasks keep running.
 *
 * The owner stops placing tasks and gives up the shard as soon as no change is waiting to become
 * durable and no start is in progress. If that does not happen before the deadline, the owner
 * resumes placement.
 */
package sycamoremast.coordination.shard

internal class HandOver {
    private var deadlineMillis = Long.MIN_VALUE

    fun begin(nowMillis: Long) {
        deadlineMillis = nowMillis + MAX_PAUSE_MILLIS
    }

    fun end() {
        deadlineMillis = Long.MIN_VALUE
    }

    fun isUnderWay(nowMillis: Long) = nowMillis < deadlineMillis

    private companion object {
        /** The maximum time for which placement is paused. */
        const val MAX_PAUSE_MILLIS = 1_000L
    }
}
