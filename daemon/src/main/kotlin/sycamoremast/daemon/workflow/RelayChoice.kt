/**
 * Chooses the hosts that send a worker's orders.
 *
 * Every worker has an order of preference among the hosts of its availability zone, by weighted
 * rendezvous hashing: stronger hosts get more workers, and a host that comes or goes moves only its
 * own.
 */
package sycamoremast.daemon.workflow

import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlin.math.ln

/** A host that passes on orders; [strength] is the number of cores that it may use. */
internal data class RelayHost(val name: String, val availabilityZone: String, val strength: Double)

internal object RelayChoice {
    /** Returns the hosts worth using: weak ones only where there are no stronger ones. */
    fun worthUsing(hosts: Collection<RelayHost>): List<RelayHost> {
        val strongest = hosts.maxOfOrNull { it.strength } ?: return emptyList()
        return hosts.filter { it.strength >= strongest * LEAST_SHARE_OF_STRONGEST }
    }

    /** Returns the names of [hosts] in the order in which [worker] in [zone] prefers them. */
    fun ranked(worker: String, zone: String?, hosts: Collection<RelayHost>): List<String> =
        hosts.sortedWith(
            compareByDescending<RelayHost> { it.availabilityZone == zone }
                .thenByDescending { score(worker, it) }
        ).map { it.name }

    private fun score(worker: String, host: RelayHost): Double {
        val digest = MessageDigest.getInstance("SHA-1")
            .digest("$worker/${host.name}".toByteArray())
        val hash = ByteBuffer.wrap(digest).getInt().toLong() and UNSIGNED_INT
        val unit = (hash.toDouble() + HALF) / (1L shl Int.SIZE_BITS)
        return -host.strength / ln(unit)
    }

    /** Below this share of the strongest host's strength, a host is better left to its callers. */
    private const val LEAST_SHARE_OF_STRONGEST = 0.5
    private const val HALF = 0.5
    private const val UNSIGNED_INT = 0xffffffffL
}
