/**
 * This host's replica of the accepted configuration.
 *
 * Documents arrive from the relay of this host's availability zone, from hosts whose heartbeats
 * show different revisions, and from the key-value service itself. Whatever the source and the
 * order, the [DocumentTable] accepts only higher revisions.
 */
package sycamoremast.daemon.control

import arrow.core.Either
import java.util.concurrent.CopyOnWriteArrayList
import org.tinylog.kotlin.Logger
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.document.ConfigurationDocument
import sycamoremast.coordination.document.DocumentInForce
import sycamoremast.coordination.document.DocumentTable
import sycamoremast.coordination.document.OfferResult
import sycamoremast.coordination.store.StoredDocument
import sycamoremast.daemon.log.event
import sycamoremast.daemon.peer.Documents
import sycamoremast.daemon.peer.Heartbeat

/** Replicates the accepted configuration on this host; [start] starts replication. */
class ConfigurationReplica private constructor(
    private val context: ControlContext,
    private val membership: Membership,
    private val peers: ControlPeers,
    audit: AuditTrail,
    relayTimes: RelayTimes
) : ConfigurationView,
    AutoCloseable {
    /** The replicated documents; only [offer] may add to them. */
    internal val table = DocumentTable(parse = ::parseConfiguration)
    private val listeners = CopyOnWriteArrayList<(AppliedConfiguration) -> Unit>()
    private val applyLock = Any()
    private val submitter = ConfigurationSubmitter(context, this, audit)
    private val confirmer = Confirmer(context.host, membership, peers)
    private val catchUp = PeerCatchUp(context, this, peers, relayTimes.catchUpDelay)
    private val relay = ZoneRelay(context, this, membership, relayTimes)
    private val storeLoop = ControlLoop("configuration", STEP_INTERVAL_MILLIS) { storeStep() }
    private val peerLoop = ControlLoop("catch-up", STEP_INTERVAL_MILLIS) { catchUp.step() }

    @Volatile
    private var listingError: StoreError? = null

    /** Whether this replica has at least once caught up with the service or with a synced host. */
    @Volatile
    var isSynced = false
        private set

    /** Whether this host watches the service for its availability zone. */
    internal val isRelay: Boolean get() = relay.isWatching

    override fun inForce(): Map<String, AppliedConfiguration> =
        table.allInForce().mapValues { it.value.toApplied() }

    override fun onApplied(listener: (AppliedConfiguration) -> Unit) = synchronized(applyLock) {
        listeners += listener
        inForce().values.forEach(listener)
    }

    /** Starts replication. */
    fun start() {
        membership.setHeartbeatSource(::currentHeartbeat)
        membership.onHeartbeat { process, heartbeat ->
            relay.recordHeartbeat(process, heartbeat)
            catchUp.recordDigest(process.host, heartbeat.digest)
        }
        ReplicaQueryHandlers(this).registerOn(peers.network)
        storeLoop.start()
        peerLoop.start()
    }

    override fun close() {
        storeLoop.close()
        peerLoop.close()
        relay.close()
        confirmer.close()
    }

    /** Returns the reasons why this host must not serve yet; empty if it may serve. */
    fun notReadyBecause(): List<String> {
        if (isSynced) return emptyList()
        val error = listingError ?: return listOf("configuration has not been read yet")
        return listOf(
            "no configuration: ${error.step} at key-value service ${error.peer} failed " +
                "(${error.reason}), and no connected host holds it"
        )
    }

    /** Returns the document of [team] that is in force on this host, or null. */
    fun document(team: String): DocumentView? = table.inForce(team)?.document?.toView()

    /** Returns the teams whose newest document this version of the daemon can't read. */
    fun unreadableTeams(): Set<String> = table.unreadableTeams()

    /** Submits [text] for [team] as the successor of [fromRevision] and returns the outcome. */
    fun submit(team: String, fromRevision: Long, text: String, operator: String): SubmitOutcome =
        submitter.submit(team, fromRevision, text, operator)

    /**
     * Returns the hosts on which at least [revision] of [team] is in force, and those not confirmed
     * within [timeoutMillis].
     */
    fun confirmations(team: String, revision: Long, timeoutMillis: Long): ConfirmationView =
        confirmer.confirm(team, revision, timeoutMillis) { inForceRevision(team) }

    /** Returns the documents in force, including their change history. */
    internal fun documents(): List<ConfigurationDocument> =
        table.allInForce().values.map { it.document }

    internal fun documentInForce(team: String) = table.inForce(team)?.document

    internal fun inForceRevision(team: String) = table.inForce(team)?.document?.revision ?: 0

    internal fun markSynced() {
        if (isSynced) return
        isSynced = true
        Logger.info { event("configuration-synced", "teams" to table.revisions().size) }
    }

    /** Offers [text], received from [source]; returns whether it was new to this host. */
    internal fun offer(text: String, source: String): Boolean = synchronized(applyLock) {
        when (val offer = table.offer(text)) {
            is OfferResult.Accepted -> {
                publish(offer.accepted, source)
                true
            }

            is OfferResult.Unreadable -> {
                reportUnreadable(offer, source)
                offer.team.isNotEmpty()
            }

            is OfferResult.NotNewer -> false
        }
    }

    /** Offers the value stored at [key]; returns the text of its document if that was new. */
    internal fun offerStored(key: String, value: String, source: String): String? {
        if (!ControlKeys.isConfiguration(key)) return null
        val text = StoredDocument.parseOrNull(value)?.body ?: value
        return text.takeIf { offer(it, source) }
    }

    /** Reads all documents from the service and offers them to this replica. */
    internal fun readAll(): Either<StoreError, StoreListing> {
        val listing = context.budgetedStore.list(ControlKeys.TEAMS)
        listingError = listing.leftOrNull()
        listing.onRight { read ->
            val wasSynced = isSynced
            val newTexts = read.entries.mapNotNull { offerStored(it.key, it.value, "listing") }
            if (wasSynced) pushToZone(newTexts)
            markSynced()
        }
        return listing
    }

    /** Sends [texts] to the connected hosts of this availability zone. */
    internal fun pushToZone(texts: List<String>) {
        for (text in texts) {
            val message = Documents(listOf(text))
            peers.zonePeers(context.availabilityZone).forEach { peers.network.send(it, message) }
        }
    }

    /** Sends the newest document of [team] known here, whatever its source, to the zone. */
    internal fun pushNewest(team: String) = pushToZone(table.texts(listOf(team)))

    internal fun storeStep() {
        if (!isSynced) readAll()
        relay.step()
    }

    private fun currentHeartbeat() = Heartbeat(
        incarnation = 0,
        digest = table.digest(),
        relayVersion = relay.keyVersion,
        watching = relay.isWatching,
        synced = isSynced
    )

    private fun publish(taken: DocumentInForce<TeamConfiguration>, source: String) {
        context.count("documents.applied")
        Logger.info {
            event(
                "configuration-applied",
                "team" to taken.document.team,
                "revision" to taken.document.revision,
                "source" to source
            )
        }
        listeners.forEach { notifyListener(it, taken.toApplied()) }
    }

    private fun notifyListener(
        listener: (AppliedConfiguration) -> Unit,
        applied: AppliedConfiguration
    ) {
        try {
            listener(applied)
        } catch (e: Exception) {
            Logger.error(e) {
                event("configuration-listener-failed", "step" to "apply", "team" to applied.team)
            }
        }
    }

    private fun reportUnreadable(offer: OfferResult.Unreadable, source: String) {
        context.count("documents.unreadable")
        Logger.warn {
            event(
                "configuration-unreadable",
                "step" to "parse",
                "peer" to source,
                "team" to offer.team,
                "revision" to offer.revision,
                "reason" to offer.reason
            )
        }
    }

    companion object {
        private const val STEP_INTERVAL_MILLIS = 500L

        /** Returns a replica that is kept up to date by [peers] and the key-value service. */
        fun create(
            context: ControlContext,
            membership: Membership,
            peers: ControlPeers,
            audit: AuditTrail,
            relayTimes: RelayTimes = RelayTimes()
        ): ConfigurationReplica =
            ConfigurationReplica(context, membership, peers, audit, relayTimes)
    }
}

/** Parses [text] as the configuration of [team]; returns its errors, joined, if it is invalid. */
internal fun parseConfiguration(team: String, text: String): Either<String, TeamConfiguration> =
    configurationErrors(team, text).mapLeft { it.joinToString("; ") }

/** Parses [text] as the configuration of [team]; returns all its errors if it is invalid. */
internal fun configurationErrors(
    team: String,
    text: String
): Either<List<String>, TeamConfiguration> {
    val bytes = text.toByteArray().size
    if (bytes > TeamConfiguration.MAX_TEXT_BYTES) {
        return Either.Left(listOf("$bytes bytes exceed ${TeamConfiguration.MAX_TEXT_BYTES}"))
    }
    return when (val parsed = TeamConfiguration.parse(team, text)) {
        is Either.Left -> Either.Left(parsed.value.map { it.toString() })

        is Either.Right -> if (parsed.value.team == team) {
            parsed
        } else {
            Either.Left(listOf("the text is for team ${parsed.value.team}, not $team"))
        }
    }
}

internal fun ConfigurationDocument.toView() = DocumentView(team, revision, text, operator, atMillis)

private fun DocumentInForce<TeamConfiguration>.toApplied() =
    AppliedConfiguration(document.team, document.revision, configuration)
