/** The time for which one part of the scheduler held a long-running task back. */
package sycamoremast.cli

/** A time from [from] to [to], in seconds, in which [hold] kept a task off. */
internal data class HeldTime(val hold: TaskHold, val from: Double, val to: Double) {
    val seconds: Double get() = to - from

    companion object {
        /**
         * Returns the times of [holds], by when they were logged, until [endSeconds]. Each lasts
         * until another part is logged.
         */
        fun allOf(holds: List<Pair<Double, TaskHold>>, endSeconds: Double): List<HeldTime> {
            val all = ArrayList<HeldTime>()
            val ends = holds.drop(1).map { it.first } + endSeconds
            for ((logged, end) in holds.zip(ends)) {
                val (from, hold) = logged
                val last = all.lastOrNull()?.takeIf { it.hold.part == hold.part }
                if (last == null) {
                    all += HeldTime(hold, from, end)
                } else {
                    val hasRoom = last.hold.hasRoomElsewhere || hold.hasRoomElsewhere
                    all[all.lastIndex] = HeldTime(TaskHold(hold.part, hasRoom), last.from, end)
                }
            }
            return all
        }
    }
}
