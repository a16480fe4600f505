/**
 * Chooses the hosts that relay a worker's orders.
 *
 * Each worker ranks the hosts of its availability zone by weighted rendezvous hashing: stronger
 * hosts get more workers, and a host that joins or leaves moves only its own workers.
 */
package sycamoremast.daemon.workflow

import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlin.math.ln

/** A host that can relay orders; [strength] is the number of cores that it may use. */
internal data class RelayHost(val name: String, val availabilityZone: String, val strength: Double)

internal object RelayChoice {
    /** Returns the hosts to use as relays, without those much weaker than the strongest. */
    fun eligible(hosts: Collection<RelayHost>): List<RelayHost> {
        val strongest = hosts.maxOfOrNull { it.strength } ?: return emptyList()
        return hosts.filter { it.strength >= strongest * MIN_SHARE_OF_STRONGEST }
    }

    /** Returns the names of [hosts] ranked for [worker], those in its [zone] first. */
    fun ranked(worker: String, zone: String?, hosts: Collection<RelayHost>): List<String> =
        hosts.sortedWith(
            compareByDescending<RelayHost> { it.availabilityZone == zone }
                .thenByDescending { score(worker, it) }
        ).map { it.name }

    private fun score(worker: String, host: RelayHost): Double {
        val digest = MessageDigest.getInstance("SHA-1")
            .digest("$worker/${host.name}".toByteArray())
        val hash = ByteBuffer.wrap(digest).getInt().toLong() and UNSIGNED_INT
        val unitInterval = (hash.toDouble() + HALF) / (1L shl Int.SIZE_BITS)
        return -host.strength / ln(unitInterval)
    }

    /** Below this share of the strongest host's strength, a host should serve only its callers. */
    private const val MIN_SHARE_OF_STRONGEST = 0.5
    private const val HALF = 0.5
    private const val UNSIGNED_INT = 0xffffffffL
}
