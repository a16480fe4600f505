/** The identity of a shard and its keys in the key-value store. */
package sycamoremast.daemon.batch

internal const val SHARDS_PREFIX = "sycamoremast/shards/"

/** Identifies the shard [number] of [availabilityZone]. */
internal data class ShardId(val availabilityZone: String, val number: Int) {
    val documentKey get() = "$SHARDS_PREFIX$availabilityZone/$number"
    val ownerKey get() = "${ownersPrefix(availabilityZone)}$number"

    override fun toString() = "$availabilityZone/$number"

    companion object {
        /** Returns the common prefix of all owner keys in [availabilityZone]. */
        fun ownersPrefix(availabilityZone: String) = "sycamoremast/owners/$availabilityZone/"

        /** Returns the shard whose document is at [key], or null if [key] is no document key. */
        fun fromDocumentKeyOrNull(key: String): ShardId? {
            if (!key.startsWith(SHARDS_PREFIX)) return null
            val path = key.removePrefix(SHARDS_PREFIX)
            val number = path.substringAfterLast('/').toIntOrNull() ?: return null
            return ShardId(path.substringBeforeLast('/'), number)
        }
    }
}
