/** Tables of the times in which long-running tasks had no run. */
package sycamoremast.cli

/** Tables of [offTimes] in [play]. */
internal class OffTimeReport(private val play: Play, private val offTimes: List<OffTime>) {
    /** Returns all times, by when the runs ended. */
    fun list(): String = table(HEADER, offTimes.sortedBy { it.earliestSeconds }.map(::row))

    /** Returns the [count] times with the longest calm. */
    fun longest(count: Int): String =
        table(HEADER, offTimes.sortedByDescending { calmMost(it) }.take(count).map(::row))

    /** Returns the distribution of the times, by what ended the runs. */
    fun distribution(): String {
        val byCause = offTimes.groupBy { it.cause }.toList().sortedByDescending { it.second.size }
        val rows = (listOf("all" to offTimes) + byCause).flatMap { (cause, times) ->
            listOf(
                measure(cause, "off", times) { it.seconds },
                measure(cause, "calm, from the earliest", times, ::calmMost),
                measure(cause, "calm, from when noted", times, ::calmLeast)
            )
        }
        return table(listOf("ended by", "seconds", "n", "p50", "p99", "most"), rows)
    }

    /** The calm if the run ended as early as it may have. */
    private fun calmMost(off: OffTime) = play.calmSeconds(off.earliestSeconds, off.endSeconds)

    private fun calmLeast(off: OffTime) = play.calmSeconds(off.notedSeconds, off.endSeconds)

    private fun measure(
        cause: String,
        name: String,
        times: List<OffTime>,
        seconds: (OffTime) -> Double
    ): List<Any?> {
        val sorted = times.map(seconds).sorted()
        return listOf(cause, name, sorted.size) +
            listOf(P50, P99, 1.0).map { share ->
                sorted.percentileOrNull(share)?.let(::formatSeconds)
            }
    }

    private fun row(off: OffTime): List<Any?> {
        val last = play.lastDisruptionOrNull(off.endSeconds)
        return listOf(
            off.task,
            formatSeconds(off.earliestSeconds),
            formatSeconds(off.notedSeconds),
            off.cause,
            off.worker,
            last?.let { "${formatSeconds(it.to)} ${it.kind}" },
            formatSeconds(off.endSeconds),
            off.end.name.lowercase().replace('_', ' '),
            formatSeconds(off.seconds),
            formatSeconds(calmMost(off)),
            formatSeconds(calmLeast(off)),
            off.views.joinToString("; ")
        )
    }

    private companion object {
        val HEADER = listOf(
            "task", "lost", "noted", "by", "on", "last disruption", "until", "then", "off", "calm",
            "calm noted", "owner's view"
        )
        const val P50 = 0.5
        const val P99 = 0.99

        /** Returns the smallest value that [share] of the sorted values don't exceed, or null. */
        fun List<Double>.percentileOrNull(share: Double): Double? =
            getOrNull((Math.ceil(size * share).toInt() - 1).coerceAtLeast(0))
    }
}
