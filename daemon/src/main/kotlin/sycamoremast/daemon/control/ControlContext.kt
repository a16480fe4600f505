/** The dependencies and key names shared by the parts of the control plane. */
package sycamoremast.daemon.control

import io.micrometer.core.instrument.MeterRegistry
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.store.BudgetedStore
import sycamoremast.coordination.store.CallBudget
import sycamoremast.coordination.store.DocumentWriter
import sycamoremast.coordination.store.Timing
import sycamoremast.coordination.store.WriterLimits

/** Identifies this [host] and gives access to the key-value service within the budget [calls]. */
data class ControlContext(
    val host: String,
    val availabilityZone: String,
    val store: KeyValueStore,
    val calls: CallBudget,
    val registry: MeterRegistry,
    val timing: Timing = Timing(),
    val wallClockMillis: () -> Long = System::currentTimeMillis
) {
    /** The store for single calls; document writers charge the call budget themselves. */
    internal val budgetedStore: KeyValueStore = BudgetedStore(store, calls, pause = timing.pause)

    init {
        registry.gauge("sycamoremast.store.calls.taken", calls) { it.taken.toDouble() }
        registry.gauge("sycamoremast.store.calls.delayed", calls) { it.delayed.toDouble() }
    }

    internal fun nowMillis() = timing.clock.nowMillis()

    internal fun writer(key: String, limits: WriterLimits = WriterLimits()) =
        DocumentWriter.create(store, key, calls, limits, timing)

    internal fun count(name: String, vararg tags: String) =
        registry.counter("sycamoremast.control.$name", *tags).increment()
}

/** The keys of the control plane in the key-value service. */
internal object ControlKeys {
    const val TEAMS = "sycamoremast/teams/"
    const val HOSTS = "sycamoremast/hosts/"
    const val AUDIT = "sycamoremast/audit/"
    const val PROBLEMS = "sycamoremast/problems/recent"
    private const val CONFIGURATION = "/configuration"

    fun configuration(team: String) = "$TEAMS$team$CONFIGURATION"

    fun isConfiguration(key: String) = key.startsWith(TEAMS) && key.endsWith(CONFIGURATION)

    /** Returns the team whose configuration is stored at [key]. */
    fun teamOf(key: String) = key.removePrefix(TEAMS).removeSuffix(CONFIGURATION)

    fun host(host: String) = "$HOSTS$host"

    fun relay(availabilityZone: String) = "sycamoremast/relays/$availabilityZone"
}
