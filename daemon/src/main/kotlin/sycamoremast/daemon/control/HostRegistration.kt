/** The registration of this host in the key-value service under a lease. */
package sycamoremast.daemon.control

import arrow.core.Either
import kotlin.time.Duration
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.daemon.log.event
import sycamoremast.daemon.peer.PeerIdentity

/** The value of a host's registration key: its process, and the lease that the key is under. */
@Serializable
internal data class RegisteredHost(val identity: PeerIdentity, val lease: Long) {
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    companion object {
        private val FORMAT = Json { ignoreUnknownKeys = true }

        fun parseOrNull(text: String): RegisteredHost? = try {
            FORMAT.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        }
    }
}

/** Registers this host under a lease of [ttl]; each [step] registers it or renews the lease. */
internal class HostRegistration(
    private val context: ControlContext,
    private val claim: IncarnationClaim,
    private val ttl: Duration,
    private val address: () -> String
) {
    private val key = ControlKeys.host(context.host)
    private var isRegistered = false
    private var leaseValidUntilMillis = Long.MIN_VALUE

    /** The lease, or null when it may have expired. */
    @Volatile
    var lease: LeaseId? = null
        private set

    /** The error of the last step, or null if it succeeded. */
    @Volatile
    var lastError: StoreError? = null
        private set

    /** Registers this host or renews its lease; returns whether this host is registered. */
    fun step(): Boolean {
        val result = if (isRegistered) renewLease() else register()
        val error = result.leftOrNull()
        if (error != null && lastError == null) {
            Logger.warn {
                event(
                    "registration-failed",
                    "step" to error.step,
                    "peer" to error.peer,
                    "reason" to error.reason
                )
            }
        }
        lastError = error
        if (context.nowMillis() >= leaseValidUntilMillis) lease = null
        return isRegistered && error == null
    }

    /** Revokes the lease, which deletes all keys under it. */
    fun deregister() {
        lease?.let { context.budgetedStore.revokeLease(it) }
        lease = null
        isRegistered = false
    }

    private fun renewLease(): Either<StoreError, Unit> {
        val leaseId = lease ?: return register()
        val before = context.nowMillis()
        return context.budgetedStore.keepAlive(leaseId).map { isAlive ->
            if (isAlive) {
                leaseValidUntilMillis = before + ttl.inWholeMilliseconds
            } else {
                lease = null
                isRegistered = false
                context.count("leases.lapsed")
            }
        }
    }

    private fun register(): Either<StoreError, Unit> {
        isRegistered = false
        val leaseId = lease ?: when (val granted = grantLease()) {
            is Either.Left -> return granted
            is Either.Right -> granted.value
        }
        return when (val current = context.budgetedStore.get(key)) {
            is Either.Left -> current
            is Either.Right -> writeKey(leaseId, current.value)
        }
    }

    private fun grantLease(): Either<StoreError, LeaseId> {
        val before = context.nowMillis()
        return context.budgetedStore.grantLease(ttl).onRight {
            lease = it
            leaseValidUntilMillis = before + ttl.inWholeMilliseconds
        }
    }

    private fun writeKey(leaseId: LeaseId, current: StoreEntry?): Either<StoreError, Unit> {
        val other = current?.let { RegisteredHost.parseOrNull(it.value) }
        if (other != null) claim.observe(other.identity.incarnation)
        if (claim.supersededBy != null) return Either.Right(Unit)
        val own = RegisteredHost(identity(), leaseId.value)
        if (other == own) return Either.Right(markRegistered())
        val expected = current?.version ?: StoreEntry.ABSENT
        val swapped = context.budgetedStore.compareAndSwap(key, expected, own.print(), leaseId)
        return swapped.map { if (it is SwapOutcome.Applied) markRegistered() }
    }

    private fun markRegistered() {
        isRegistered = true
        claim.establish()
    }

    private fun identity() =
        PeerIdentity(context.host, context.availabilityZone, address(), claim.value)
}
