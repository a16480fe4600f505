/** Tables of which parts of the scheduler held long-running tasks back, and for how long. */
package sycamoremast.cli

/** Tables of what held tasks back in [offTimes] of [play]. */
internal class HoldReport(private val play: Play, private val offTimes: List<OffTime>) {
    /** Returns what held the tasks back in the [count] times with the longest calm. */
    fun longest(count: Int): String {
        val longest = offTimes.sortedByDescending(::calm).take(count)
        return table(LONGEST_HEADER, longest.flatMap { off -> heldTimes(off).map { row(off, it) } })
    }

    /** Returns for each part how many times it held a task back, and for how long at most. */
    fun sums(): String {
        val rows = offTimes.flatMap { off -> heldTimes(off).map { off to it } }
            .groupBy { (_, held) -> held.hold.part }
            .mapValues { (_, times) -> Sum(times) }.toList()
            .sortedWith(
                compareByDescending<Pair<String, Sum>> { it.second.longestCalm }
                    .thenByDescending { it.second.longestOff }
            )
            .map { (part, sum) ->
                listOf(
                    part,
                    sum.count,
                    formatSeconds(sum.longestOff),
                    formatSeconds(sum.longestCalm),
                    sum.countWithRoom
                )
            }
        return table(SUMS_HEADER, rows)
    }

    private inner class Sum(times: List<Pair<OffTime, HeldTime>>) {
        val count = times.distinctBy { it.first }.size
        val countWithRoom =
            times.filter { it.second.hold.hasRoomElsewhere }.distinctBy { it.first }.size
        val longestOff = times.maxOf { it.second.seconds }
        val longestCalm = times.maxOf { calm(it.second) }
    }

    /** Returns all of [off] by what held the task back, of which nothing is logged at first. */
    private fun heldTimes(off: OffTime): List<HeldTime> {
        val loggedFrom = off.holds.firstOrNull()?.from ?: off.endSeconds
        val notLogged = HeldTime(NOT_LOGGED, off.earliestSeconds, loggedFrom)
        return listOf(notLogged) + off.holds
    }

    private fun row(off: OffTime, held: HeldTime): List<Any?> = listOf(
        off.task,
        formatSeconds(off.earliestSeconds),
        formatSeconds(off.endSeconds),
        formatSeconds(off.seconds),
        formatSeconds(calm(off)),
        held.hold.part,
        formatSeconds(held.from),
        formatSeconds(held.to),
        formatSeconds(held.seconds),
        formatSeconds(calm(held)),
        if (held.hold.hasRoomElsewhere) "yes" else "no"
    )

    private fun calm(off: OffTime) = play.calmSeconds(off.earliestSeconds, off.endSeconds)

    private fun calm(held: HeldTime) = play.calmSeconds(held.from, held.to)

    private companion object {
        val LONGEST_HEADER = listOf(
            "task", "lost", "until", "off", "calm", "held by", "from", "to", "held", "held in calm",
            "room free"
        )
        val SUMS_HEADER = listOf("held by", "n", "longest off", "longest calm", "n with room free")
        val NOT_LOGGED = TaskHold("not logged", hasRoomElsewhere = false)
    }
}
