/** Fakes of the parts of the daemon that the request path depends on. */
package sycamoremast.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import sycamoremast.configuration.Quota
import sycamoremast.configuration.Route
import sycamoremast.configuration.Service
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.coordination.HostList
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.WatchListener
import sycamoremast.coordination.membership.MemberState
import sycamoremast.daemon.control.AppliedConfiguration
import sycamoremast.daemon.control.ConfigurationView
import sycamoremast.daemon.control.Member
import sycamoremast.daemon.control.MembershipView
import sycamoremast.daemon.control.ProblemKind
import sycamoremast.daemon.control.ProblemReporter
import sycamoremast.daemon.peer.PeerError
import sycamoremast.daemon.peer.PeerMessage
import sycamoremast.daemon.peer.PeerNetwork

internal const val SERVICE = "reports"
internal const val ZONE = "sigulda"

internal val REPORTS = Service(
    name = SERVICE,
    deadline = 20.seconds,
    routes = listOf(
        Route("photos", "/photos", 10.milliseconds, idempotent = true),
        Route("invoices", "/invoices", 10.milliseconds),
        Route("archive", "/archive", 2.seconds, idempotent = true)
    )
)

internal class FixedConfiguration(vararg services: Service) : ConfigurationView {
    private val applied = AppliedConfiguration(
        "inspectors",
        1,
        TeamConfiguration("inspectors", Quota(0, 0), services.toList())
    )

    override fun inForce() = mapOf(applied.team to applied)

    override fun onApplied(listener: (AppliedConfiguration) -> Unit) = listener(applied)
}

internal class FakeMembership(
    override val self: Member = member("entry-1"),
    @Volatile var others: List<Member> = emptyList()
) : MembershipView {
    override fun members() = listOf(self) + others

    companion object {
        fun member(host: String, incarnation: Long = 1, state: MemberState = MemberState.LIVE) =
            Member(host, ZONE, incarnation, "127.0.0.1:0", state)
    }
}

internal object NoPeers : PeerNetwork {
    override fun send(host: String, message: PeerMessage) = false

    override fun ask(host: String, message: PeerMessage, timeout: Duration) =
        PeerError.NotConnected("ask", host).left()

    override fun <T : PeerMessage> handle(
        type: KClass<T>,
        handler: (from: String, T) -> PeerMessage?
    ) = Unit
}

/** An in-memory network between several hosts, which can be partitioned. */
internal class PeerHub {
    private val handlers =
        ConcurrentHashMap<Pair<String, KClass<*>>, (String, PeerMessage) -> PeerMessage?>()

    @Volatile
    var isCut = false

    /** Hosts that receive requests and never reply. */
    val silent: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Returns the network as [host] uses it. */
    fun networkOf(host: String): PeerNetwork = object : PeerNetwork {
        override fun send(host: String, message: PeerMessage) =
            ask(host, message, Duration.ZERO).isRight()

        override fun ask(host: String, message: PeerMessage, timeout: Duration) =
            if (host in silent) unanswered(host, timeout) else deliver(host, message)

        private fun unanswered(to: String, timeout: Duration): Either<PeerError, PeerMessage> {
            Thread.sleep(timeout.inWholeMilliseconds)
            return PeerError.NoAnswer("ask", to).left()
        }

        @Suppress("UNCHECKED_CAST")
        override fun <T : PeerMessage> handle(
            type: KClass<T>,
            handler: (from: String, T) -> PeerMessage?
        ) {
            handlers[host to type] = { from, message -> handler(from, message as T) }
        }

        private fun deliver(to: String, message: PeerMessage): Either<PeerError, PeerMessage> {
            val handler = handlers[to to message::class]
            if (isCut || handler == null) return PeerError.NotConnected("ask", to).left()
            return handler(host, message)?.right() ?: PeerError.NoAnswer("ask", to).left()
        }
    }
}

internal class RecordedProblems : ProblemReporter {
    val raised = ConcurrentHashMap<Pair<ProblemKind, String>, String>()

    override fun raise(kind: ProblemKind, subject: String, evidence: String) {
        raised[kind to subject] = evidence
    }

    override fun clear(kind: ProblemKind, subject: String) {
        raised.remove(kind to subject)
    }
}

/** An in-memory store that can be made unavailable or lose its replies. */
internal class MemoryStore : KeyValueStore {
    @Volatile
    var isDown = false

    /** The number of next writes that take effect but whose replies are lost. */
    @Volatile
    var answersToLose = 0

    private val entries = sortedMapOf<String, StoreEntry>()
    private var revision = 0L
    var writes = 0
        private set

    @Synchronized
    override fun get(key: String): Either<StoreError, StoreEntry?> =
        if (isDown) down("get") else entries[key].right()

    @Synchronized
    override fun list(prefix: String): Either<StoreError, StoreListing> {
        if (isDown) return down("list")
        val found = entries.values.filter { it.key.startsWith(prefix) }
        return StoreListing(found, revision).right()
    }

    @Synchronized
    override fun compareAndSwap(
        key: String,
        expected: Long,
        value: String,
        lease: LeaseId?
    ): Either<StoreError, SwapOutcome> {
        if (isDown) return down("compareAndSwap")
        val current = entries[key]
        if ((current?.version ?: StoreEntry.ABSENT) != expected) {
            return SwapOutcome.Conflict(current).right()
        }
        entries[key] = StoreEntry(key, value, ++revision)
        writes++
        if (answersToLose > 0) {
            answersToLose--
            return StoreError.AnswerLost("compareAndSwap", "memory", "lost").left()
        }
        return SwapOutcome.Applied(revision).right()
    }

    @Synchronized
    override fun compareAndDelete(key: String, expected: Long): Either<StoreError, SwapOutcome> {
        if (isDown) return down("compareAndDelete")
        val current = entries[key]
        if (current?.version != expected) return SwapOutcome.Conflict(current).right()
        entries.remove(key)
        return SwapOutcome.Applied(++revision).right()
    }

    override fun grantLease(ttl: Duration) = LeaseId(1).right()

    override fun keepAlive(lease: LeaseId) = true.right()

    override fun revokeLease(lease: LeaseId) = Unit.right()

    override fun watch(prefix: String, fromRevision: Long, listener: WatchListener) =
        AutoCloseable { }

    private fun down(step: String) = StoreError.NotSent(step, "memory", "down").left()
}

/** A host list that a test can change. */
internal class FakeHostList(@Volatile var listed: List<ListedHost> = emptyList()) : HostList {
    override fun hosts() = listed.right()

    companion object {
        fun backend(
            port: Int,
            name: String = "backend-$port",
            state: HostState = HostState.LIVE,
            slots: Int = 8
        ) = ListedHost(
            name = name,
            address = "127.0.0.1:$port",
            availabilityZone = ZONE,
            rack = "rack-1",
            role = HostRole.BACKEND_SERVER,
            state = state,
            service = SERVICE,
            slots = slots,
            connections = 64
        )
    }
}

/** Returns ports that consist of fakes. */
internal fun testPorts(
    hostList: HostList,
    store: KeyValueStore = MemoryStore(),
    membership: MembershipView = FakeMembership(),
    problems: ProblemReporter = RecordedProblems(),
    service: Service = REPORTS,
    peers: PeerNetwork = NoPeers
) = RequestPathPorts(
    configuration = FixedConfiguration(service),
    membership = membership,
    peers = peers,
    store = store,
    hostList = hostList,
    problems = problems,
    meters = SimpleMeterRegistry()
)
