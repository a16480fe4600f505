/**
 * What an owner's roster tells the next owner about the leases of workers.
 *
 * A limit holds from the moment at which the record is formed until a later roster without it is
 * durable, also for another incarnation of the worker.
 */
package sycamoremast.coordination.workflow

/**
 * The IDs of workers that get no lease any more, as they don't answer, in [ended], and of those that
 * get short ones while the owner is the sole one, as they drain, in [short].
 *
 * All standbys know that the [lifted] limits of [ended] no longer hold.
 */
internal data class LeaseLimits(
    val ended: Set<String>,
    val short: Set<String>,
    val lifted: Set<String> = emptySet()
) {
    /** Returns these limits and the [formed] ones of a roster formed now, which are not lifted. */
    operator fun plus(formed: LeaseLimits) =
        LeaseLimits(ended + formed.ended, short + formed.short, lifted - formed.ended)

    /** Returns the [formed] limits of a roster that is durable now, of which some were lifted. */
    fun recorded(formed: LeaseLimits) = formed.copy(lifted = lifted intersect formed.ended)

    companion object {
        val NONE = LeaseLimits(emptySet(), emptySet())
    }
}
