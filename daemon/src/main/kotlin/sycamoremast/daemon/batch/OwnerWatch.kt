/**
 * Observes which shards of an availability zone have an owner, by one watch on all owner keys.
 *
 * Each refresh also lists the keys: that takes one call for any number of shards, and makes up for
 * a watch that has stopped without an error.
 */
package sycamoremast.daemon.batch

import org.tinylog.kotlin.Logger
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.WatchListener
import sycamoremast.daemon.log.event

/** Reports to [onObserved] which of [ownerKeys] exist; the shard of an existing key is held. */
internal class OwnerWatch(
    private val store: KeyValueStore,
    private val prefix: String,
    private val ownerKeys: Set<String>,
    private val onObserved: (ownerKey: String, isHeld: Boolean) -> Unit
) : AutoCloseable {
    private var running: RunningWatch? = null

    /** Lists the owner keys, and restarts the watch if it has ended. */
    fun refresh() {
        val listing = store.list(prefix).getOrNull() ?: return
        val held = listing.entries.map { it.key }.toSet()
        ownerKeys.forEach { onObserved(it, it in held) }
        if (running?.hasEnded == false) return
        running?.close()
        running = watchFrom(listing)
    }

    private fun watchFrom(listing: StoreListing) = RunningWatch().also {
        it.handle = store.watch(prefix, listing.revision + 1, it)
    }

    override fun close() {
        running?.close()
        running = null
    }

    private inner class RunningWatch : WatchListener {
        @Volatile
        var hasEnded = false

        @Volatile
        var handle: AutoCloseable? = null

        override fun onChange(key: String, value: String?, revision: Long) {
            if (key in ownerKeys) onObserved(key, value != null)
        }

        override fun onEnd(error: StoreError?) {
            hasEnded = true
            Logger.debug { event("watch-ended", "step" to "watch owners", "peer" to error?.peer) }
        }

        fun close() {
            handle?.close()
        }
    }
}
