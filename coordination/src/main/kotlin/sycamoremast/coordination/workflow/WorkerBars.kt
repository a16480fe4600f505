/** The holds that bar a worker for a time, each until a moment of its own. */
package sycamoremast.coordination.workflow

import java.util.EnumMap

internal class WorkerBars {
    private val endMillis = EnumMap<StartHold, Long>(StartHold::class.java)

    /** Bars starts for [hold] until [untilMillis]. */
    fun set(hold: StartHold, untilMillis: Long) {
        endMillis[hold] = untilMillis
    }

    /** Returns when the last bar for [hold] ends, or null if there was none. */
    fun endMillisOrNull(hold: StartHold): Long? = endMillis[hold]

    fun isBarred(hold: StartHold, nowMillis: Long): Boolean =
        endMillis[hold]?.let { nowMillis < it } ?: false

    /** Returns why the worker looks unsound, or null if it does not. */
    fun suspicionOrNull(nowMillis: Long): StartHold? =
        if (endMillis.isEmpty()) null else SUSPICIONS.find { isBarred(it, nowMillis) }

    private companion object {
        val SUSPICIONS = StartHold.entries.filter { it.protectsOthers }
    }
}
