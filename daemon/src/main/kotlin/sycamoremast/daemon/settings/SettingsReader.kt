/** Converts the sections of a settings file to typed settings and validates them. */
package sycamoremast.daemon.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.raise.nullable
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import sycamoremast.configuration.Endpoint
import sycamoremast.configuration.NameRule
import sycamoremast.configuration.ini.IniDocument
import sycamoremast.configuration.ini.IniError
import sycamoremast.configuration.ini.IniSection
import sycamoremast.configuration.ini.SectionReader

/** Reads all settings in [document] and collects all errors. */
internal class SettingsReader(private val document: IniDocument) {
    private val errors = mutableListOf<IniError>()

    fun read(): Either<NonEmptyList<IniError>, DaemonSettings> {
        val settings = readAll()
        rejectUnknownSections()
        val sorted = errors.sortedBy { it.line }.toNonEmptyListOrNull()
        return sorted?.left() ?: checkNotNull(settings).right()
    }

    private fun readAll(): DaemonSettings? {
        val host = readRequired("host") { readHost() }
        val listen = readRequired("listen") { readListen() }
        val advertise = readOptional("advertise", AdvertiseSettings()) { readAdvertise() }
        if (listen != null && advertise != null) rejectWildcards(listen, advertise)
        val keyValue = readRequired("key-value") { readKeyValue() }
        val hostList = readRequired("host-list") { readHostList() }
        val peers = readOptional("peers", PeerSettings()) { readPeers() }
        val requests = readOptional("requests", RequestSettings()) { readRequests() }
        val batch = readOptional("batch", BatchSettings()) { readBatch() }
        val shutdown = readOptional("shutdown", ShutdownSettings()) { readShutdown() }
        val log = readOptional("log", LogSettings()) { readLog() }
        return nullable {
            DaemonSettings(
                host = host.bind(),
                listen = listen.bind(),
                advertise = advertise.bind(),
                keyValue = keyValue.bind(),
                hostList = hostList.bind(),
                peers = peers.bind(),
                requests = requests.bind(),
                batch = batch.bind(),
                shutdown = shutdown.bind(),
                log = log.bind()
            )
        }
    }

    private fun <T : Any> readRequired(name: String, read: SectionReader.() -> T?): T? {
        val section = document.section(name)
        if (section != null) return read(section, read)
        errors += IniError(document.file, document.lineCount, name, "", "the section is missing")
        return null
    }

    private fun <T : Any> readOptional(name: String, default: T, read: SectionReader.() -> T?): T? {
        val section = document.section(name) ?: return default
        return read(section, read)
    }

    private fun <T : Any> read(section: IniSection, read: SectionReader.() -> T?): T? {
        val reader = SectionReader(document, section, errors)
        val value = reader.read()
        reader.rejectUnknownKeys()
        return value
    }

    private fun rejectWildcards(listen: ListenSettings, advertise: AdvertiseSettings) {
        rejectWildcard("requests", listen.requests, advertise.requests)
        rejectWildcard("operators", listen.operators, advertise.operators)
        rejectWildcard("peers", listen.peers, advertise.peers)
    }

    /** Rejects a wildcard address without an advertised one, as others can't connect to it. */
    private fun rejectWildcard(key: String, bound: Endpoint, advertised: Endpoint?) {
        if (bound.ip !in WILDCARD_ADDRESSES || advertised != null) return
        val line = document.section("listen")?.entry(key)?.line ?: document.lineCount
        val message = "${bound.ip} stands for all addresses; name one for others in [advertise]"
        errors += IniError(document.file, line, "listen", key, message)
    }

    private fun rejectUnknownSections() {
        document.sections
            .filter { it.name !in KNOWN_SECTIONS }
            .forEach {
                val message = "the section is unknown; known are ${KNOWN_SECTIONS.joinToString()}"
                errors += IniError(document.file, it.line, it.name, "", message)
            }
    }

    private companion object {
        val WILDCARD_ADDRESSES = setOf("0.0.0.0", "::")
        val KNOWN_SECTIONS = listOf(
            "host", "listen", "advertise", "key-value", "host-list",
            "peers", "requests", "batch", "shutdown", "log"
        )
    }
}

private fun SectionReader.readName(key: String): String? =
    convert(key, null, NameRule.TEXT) { it.takeIf(NameRule::matches) }

private fun SectionReader.readHost(): HostSettings? {
    val name = readName("name")
    val zone = readName("availability-zone")
    return nullable { HostSettings(name.bind(), zone.bind()) }
}

private fun SectionReader.readListen(): ListenSettings? {
    val requests = endpoint("requests")
    val operators = endpoint("operators")
    val peers = endpoint("peers")
    val bound = mapOf("requests" to requests, "operators" to operators, "peers" to peers)
    rejectSharedEndpoints(bound)
    return nullable { ListenSettings(requests.bind(), operators.bind(), peers.bind()) }
}

/** Rejects an endpoint that an earlier key already has; endpoints with port 0 never conflict. */
private fun SectionReader.rejectSharedEndpoints(bound: Map<String, Endpoint?>) {
    val fixed = bound.filterValues { it != null && it.port != 0 }.entries.toList()
    for ((i, entry) in fixed.withIndex()) {
        val earlier = fixed.take(i).find { it.value == entry.value } ?: continue
        reject(entry.key, "${entry.value} is already the address of ${earlier.key}")
    }
}

private fun SectionReader.readAdvertise(): AdvertiseSettings = AdvertiseSettings(
    requests = advertised("requests"),
    operators = advertised("operators"),
    peers = advertised("peers")
)

private fun SectionReader.advertised(key: String): Endpoint? = if (has(key)) remote(key) else null

/** Returns the endpoint at [key], which must have a port because clients connect to it. */
private fun SectionReader.remote(key: String): Endpoint? {
    val endpoint = endpoint(key) ?: return null
    if (endpoint.port == 0) reject(key, "the port must not be 0")
    return endpoint
}

private fun SectionReader.readKeyValue(): KeyValueSettings? {
    val address = remote("address")
    val timeout = long(
        "timeout-millis",
        KeyValueSettings.TIMEOUT_MILLIS_RANGE,
        KeyValueSettings.DEFAULT_TIMEOUT_MILLIS
    )
    val lease = long(
        "lease-millis",
        KeyValueSettings.LEASE_MILLIS_RANGE,
        KeyValueSettings.DEFAULT_LEASE_MILLIS
    )
    requireBelowHalf("timeout-millis", timeout, "lease-millis", lease)
    return nullable { KeyValueSettings(address.bind(), timeout.bind(), lease.bind()) }
}

/** Rejects a [value] that is not below half of [lease]. */
private fun SectionReader.requireBelowHalf(
    key: String,
    value: Long?,
    leaseKey: String,
    lease: Long?
) {
    if (value == null || lease == null || value < lease / 2) return
    reject(key, "must be less than half of $leaseKey, but is $value of $lease")
}

private fun SectionReader.readHostList(): HostListSettings? {
    val address = remote("address")
    val refresh = long(
        "refresh-millis",
        HostListSettings.REFRESH_MILLIS_RANGE,
        HostListSettings.DEFAULT_REFRESH_MILLIS
    )
    return nullable { HostListSettings(address.bind(), refresh.bind()) }
}

private fun SectionReader.readPeers(): PeerSettings? {
    val addresses = convert("addresses", emptyList(), ADDRESSES_RULE, ::parseAddresses)
    val heartbeat = long(
        "heartbeat-millis",
        PeerSettings.HEARTBEAT_MILLIS_RANGE,
        PeerSettings.DEFAULT_HEARTBEAT_MILLIS
    )
    val bytes = int(
        "max-message-bytes",
        PeerSettings.MAX_MESSAGE_BYTES_RANGE,
        PeerSettings.DEFAULT_MAX_MESSAGE_BYTES
    )
    return nullable { PeerSettings(addresses.bind(), heartbeat.bind(), bytes.bind()) }
}

private fun parseAddresses(text: String): List<Endpoint>? {
    val addresses = text.split(',').map { Endpoint.parseOrNull(it.trim()) }
    return addresses.filterNotNull().takeIf { it.size == addresses.size && it.none(::hasPortZero) }
}

private fun hasPortZero(endpoint: Endpoint) = endpoint.port == 0

private fun SectionReader.readRequests(): RequestSettings? {
    val bytes = int(
        "max-body-bytes",
        RequestSettings.MAX_BODY_BYTES_RANGE,
        RequestSettings.DEFAULT_MAX_BODY_BYTES
    )
    val queue = int(
        "queue-limit",
        RequestSettings.QUEUE_LIMIT_RANGE,
        RequestSettings.DEFAULT_QUEUE_LIMIT
    )
    val deadline = long(
        "default-deadline-millis",
        RequestSettings.DEADLINE_MILLIS_RANGE,
        RequestSettings.DEFAULT_DEADLINE_MILLIS
    )
    return nullable { RequestSettings(bytes.bind(), queue.bind(), deadline.bind()) }
}

private fun SectionReader.readBatch(): BatchSettings? {
    val shards = int("shards", BatchSettings.SHARDS_RANGE, BatchSettings.DEFAULT_SHARDS)
    val lease = long(
        "worker-lease-millis",
        BatchSettings.WORKER_LEASE_MILLIS_RANGE,
        BatchSettings.DEFAULT_WORKER_LEASE_MILLIS
    )
    val heartbeat = long(
        "heartbeat-millis",
        BatchSettings.HEARTBEAT_MILLIS_RANGE,
        BatchSettings.DEFAULT_HEARTBEAT_MILLIS
    )
    requireBelowHalf("heartbeat-millis", heartbeat, "worker-lease-millis", lease)
    return nullable { BatchSettings(shards.bind(), lease.bind(), heartbeat.bind()) }
}

private fun SectionReader.readShutdown(): ShutdownSettings? = long(
    "grace-millis",
    ShutdownSettings.GRACE_MILLIS_RANGE,
    ShutdownSettings.DEFAULT_GRACE_MILLIS
)?.let(::ShutdownSettings)

private fun SectionReader.readLog(): LogSettings? =
    choice("level", LogLevel.entries.associateBy { it.name.lowercase() }, LogLevel.INFO)
        ?.let(::LogSettings)

private const val ADDRESSES_RULE =
    "must be IP numbers with ports, separated by commas, such as 127.0.0.1:8082, 127.0.0.1:8083"
