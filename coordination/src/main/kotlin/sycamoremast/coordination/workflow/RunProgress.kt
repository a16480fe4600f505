/** How far a run has come and how fast, by the rows in which its worker reports it. */
package sycamoremast.coordination.workflow

/** The progress of a run that was placed at [placedMillis]. */
internal class RunProgress(placedMillis: Long) {
    /** A percentage that was shown at [atMillis]. */
    private class Shown(val percent: Int, val atMillis: Long)

    /** When the run last reported progress, started or changed its pace. */
    var lastMillis = placedMillis
        private set
    var percent = 0
        private set

    /** When a report last showed more than the one before, or null if none has. */
    var changedMillis: Long? = null
        private set

    /** The first percentage at the present pace; earlier owners or runs may have worked for it. */
    private var first: Shown? = null
    private var latest: Shown? = null

    /** How long the run has taken for each percent so far, or 0 while that is unknown. */
    val millisPerPercent: Long
        get() {
            val from = first ?: return 0
            val to = latest ?: return 0
            val gained = to.percent - from.percent
            return if (gained > 0) (to.atMillis - from.atMillis) / gained else 0
        }

    /** Records a report that shows [shownPercent], and whether the checkpoint is a new one. */
    fun record(shownPercent: Int, hasNewCheckpoint: Boolean, nowMillis: Long) {
        val isMore = shownPercent != percent
        if (isMore || hasNewCheckpoint) {
            lastMillis = nowMillis
            if (first != null) changedMillis = nowMillis
        }
        if (first == null) {
            first = Shown(shownPercent, nowMillis)
        } else if (isMore) {
            latest = Shown(shownPercent, nowMillis)
        }
        percent = shownPercent
    }

    /** Records that the run works at another pace from now on. */
    fun onPaceChanged(nowMillis: Long) {
        lastMillis = nowMillis
        first = null
        latest = null
    }
}
