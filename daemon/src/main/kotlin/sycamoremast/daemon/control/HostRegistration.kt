/** This host's key in the key-value service, kept under a lease. */
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

/** A registered process and the lease that it is registered under. */
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

/** Registers this host under a lease of [ttl] and keeps it so, one [step] at a time. */
internal class HostRegistration(
    private val context: ControlContext,
    private val claim: IncarnationClaim,
    private val ttl: Duration,
    private val address: () -> String
) {
    private val key = ControlKeys.host(context.host)
    private var registered = false
    private var safeUntilMillis = Long.MIN_VALUE

    /** The lease, while this host is sure to hold it. */
    @Volatile
    var lease: LeaseId? = null
        private set

    /** The failure of the last step, or null. */
    @Volatile
    var lastError: StoreError? = null
        private set

    /** Renews the lease and the key; returns whether this host is registered. */
    fun step(): Boolean {
        val result = if (registered) keepAlive() else register()
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
        if (context.nowMillis() >= safeUntilMillis) lease = null
        return registered && error == null
    }

    /** Ends the lease, and with it all keys under it. */
    fun end() {
        lease?.let { context.budgeted.revokeLease(it) }
        lease = null
        registered = false
    }

    private fun keepAlive(): Either<StoreError, Unit> {
        val held = lease ?: return register()
        val before = context.nowMillis()
        return context.budgeted.keepAlive(held).map { kept ->
            if (kept) {
                safeUntilMillis = before + ttl.inWholeMilliseconds
            } else {
                lease = null
                registered = false
                context.count("leases.lapsed")
            }
        }
    }

    private fun register(): Either<StoreError, Unit> {
        registered = false
        val held = lease ?: when (val granted = grant()) {
            is Either.Left -> return granted
            is Either.Right -> granted.value
        }
        return when (val current = context.budgeted.get(key)) {
            is Either.Left -> current
            is Either.Right -> write(held, current.value)
        }
    }

    private fun grant(): Either<StoreError, LeaseId> {
        val before = context.nowMillis()
        return context.budgeted.grantLease(ttl).onRight {
            lease = it
            safeUntilMillis = before + ttl.inWholeMilliseconds
        }
    }

    private fun write(held: LeaseId, current: StoreEntry?): Either<StoreError, Unit> {
        val other = current?.let { RegisteredHost.parseOrNull(it.value) }
        if (other != null) claim.observe(other.identity.incarnation)
        if (claim.supersededBy != null) return Either.Right(Unit)
        val own = RegisteredHost(identity(), held.value)
        if (other == own) return Either.Right(established())
        val expected = current?.version ?: StoreEntry.ABSENT
        val swapped = context.budgeted.compareAndSwap(key, expected, own.print(), held)
        return swapped.map { if (it is SwapOutcome.Applied) established() }
    }

    private fun established() {
        registered = true
        claim.establish()
    }

    private fun identity() =
        PeerIdentity(context.host, context.availabilityZone, address(), claim.value)
}
