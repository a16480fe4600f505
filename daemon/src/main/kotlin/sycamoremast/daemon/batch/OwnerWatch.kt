/**
 * Which shards of an availability zone have an owner, seen by one watch on all their keys.
 *
 * The keys are listed again at each step, which costs one call whatever the number of shards and
 * makes up for a watch that has silently stopped.
 */
package sycamoremast.daemon.batch

import org.tinylog.kotlin.Logger
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.WatchListener
import sycamoremast.daemon.log.event

/** Tells [onSeen] whether the shard with the given owner's key is held. */
internal class OwnerWatch(
    private val store: KeyValueStore,
    private val prefix: String,
    private val ownerKeys: Set<String>,
    private val onSeen: (ownerKey: String, isHeld: Boolean) -> Unit
) : AutoCloseable {
    private var running: RunningWatch? = null

    /** Lists the keys and sees to it that a watch is running. */
    fun step() {
        val listing = store.list(prefix).getOrNull() ?: return
        val held = listing.entries.map { it.key }.toSet()
        ownerKeys.forEach { onSeen(it, it in held) }
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
            if (key in ownerKeys) onSeen(key, value != null)
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
