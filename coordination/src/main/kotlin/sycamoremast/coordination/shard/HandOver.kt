/**
 * How an owner gives its shard to another host while the tasks go on.
 *
 * It stops placing, and gives the shard up at a moment at which no change waits to become durable
 * and no start is under way. If no such moment comes in time, it goes on as the owner.
 */
package sycamoremast.coordination.shard

internal class HandOver {
    private var endsMillis = Long.MIN_VALUE

    fun begin(nowMillis: Long) {
        endsMillis = nowMillis + LONGEST_PAUSE_MILLIS
    }

    fun end() {
        endsMillis = Long.MIN_VALUE
    }

    fun isUnderWay(nowMillis: Long) = nowMillis < endsMillis

    private companion object {
        /** The longest pause in placing tasks. */
        const val LONGEST_PAUSE_MILLIS = 1_000L
    }
}
