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
 */
internal data class LeaseLimits(val ended: Set<String>, val short: Set<String>) {
    operator fun plus(other: LeaseLimits) = LeaseLimits(ended + other.ended, short + other.short)

    companion object {
        val NONE = LeaseLimits(emptySet(), emptySet())
    }
}
