/**
 * The settings of one daemon, read from its INI file.
 *
 * This file defines every default and every allowed range. [DaemonSettings.parse] validates all
 * settings before the daemon starts.
 */
package sycamoremast.daemon.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import sycamoremast.configuration.Endpoint
import sycamoremast.configuration.ini.IniDocument
import sycamoremast.configuration.ini.IniError

/** All settings of a daemon. */
data class DaemonSettings(
    val host: HostSettings,
    val listen: ListenSettings,
    val advertise: AdvertiseSettings = AdvertiseSettings(),
    val keyValue: KeyValueSettings,
    val hostList: HostListSettings,
    val peers: PeerSettings = PeerSettings(),
    val requests: RequestSettings = RequestSettings(),
    val batch: BatchSettings = BatchSettings(),
    val shutdown: ShutdownSettings = ShutdownSettings(),
    val log: LogSettings = LogSettings()
) {
    companion object {
        /**
         * Returns the settings written as INI in [text], or all errors in order of line.
         *
         * Unknown sections and keys are errors. Errors of the contents are reported only if the
         * syntax is valid. [file] names the source in error messages.
         */
        fun parse(file: String, text: String): Either<NonEmptyList<IniError>, DaemonSettings> =
            IniDocument.parse(file, text).flatMap { SettingsReader(it).read() }

        /** Returns the settings written as INI in [text], or null if it has an error. */
        fun parseOrNull(text: String): DaemonSettings? = parse("", text).getOrNull()
    }
}

/** Section `host`: the [name] of this entry host, and its availability zone. */
data class HostSettings(val name: String, val availabilityZone: String)

/** Section `listen`: the addresses to listen on; port 0 lets the operating system choose one. */
data class ListenSettings(val requests: Endpoint, val operators: Endpoint, val peers: Endpoint)

/** Section `advertise`: the addresses published to others; null means the bound address. */
data class AdvertiseSettings(
    val requests: Endpoint? = null,
    val operators: Endpoint? = null,
    val peers: Endpoint? = null
)

/** Section `key-value`: the platform's key-value service, and this host's lease in it. */
data class KeyValueSettings(
    val address: Endpoint,
    val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    val leaseMillis: Long = DEFAULT_LEASE_MILLIS
) {
    companion object {
        const val DEFAULT_TIMEOUT_MILLIS = 500L
        const val DEFAULT_LEASE_MILLIS = 2_000L
        val TIMEOUT_MILLIS_RANGE = 10L..60_000L
        val LEASE_MILLIS_RANGE = 200L..600_000L
    }
}

/** Section `host-list`: the platform's list of hosts. */
data class HostListSettings(
    val address: Endpoint,
    val refreshMillis: Long = DEFAULT_REFRESH_MILLIS
) {
    companion object {
        const val DEFAULT_REFRESH_MILLIS = 500L
        val REFRESH_MILLIS_RANGE = 50L..60_000L
    }
}

/** Section `peers`: [addresses] are contacted if the key-value service is down at startup. */
data class PeerSettings(
    val addresses: List<Endpoint> = emptyList(),
    val heartbeatMillis: Long = DEFAULT_HEARTBEAT_MILLIS,
    val maxMessageBytes: Int = DEFAULT_MAX_MESSAGE_BYTES
) {
    companion object {
        const val DEFAULT_HEARTBEAT_MILLIS = 500L
        const val DEFAULT_MAX_MESSAGE_BYTES = 1_048_576
        val HEARTBEAT_MILLIS_RANGE = 20L..60_000L
        val MAX_MESSAGE_BYTES_RANGE = 4_096..67_108_864
    }
}

/** Section `requests`: the limits of the request path. */
data class RequestSettings(
    val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    val queueLimit: Int = DEFAULT_QUEUE_LIMIT,
    val defaultDeadlineMillis: Long = DEFAULT_DEADLINE_MILLIS
) {
    companion object {
        const val DEFAULT_MAX_BODY_BYTES = 1_048_576
        const val DEFAULT_QUEUE_LIMIT = 1_000
        const val DEFAULT_DEADLINE_MILLIS = 10_000L
        val MAX_BODY_BYTES_RANGE = 1_024..67_108_864
        val QUEUE_LIMIT_RANGE = 1..1_000_000
        val DEADLINE_MILLIS_RANGE = 10L..86_400_000L
    }
}

/** Section `batch`: the number of [shards] in this availability zone, and their worker leases. */
data class BatchSettings(
    val shards: Int = DEFAULT_SHARDS,
    val workerLeaseMillis: Long = DEFAULT_WORKER_LEASE_MILLIS,
    val heartbeatMillis: Long = DEFAULT_HEARTBEAT_MILLIS
) {
    companion object {
        const val DEFAULT_SHARDS = 1
        const val DEFAULT_WORKER_LEASE_MILLIS = 3_000L
        const val DEFAULT_HEARTBEAT_MILLIS = 500L
        val SHARDS_RANGE = 1..1_000
        val WORKER_LEASE_MILLIS_RANGE = 200L..600_000L
        val HEARTBEAT_MILLIS_RANGE = 20L..60_000L
    }
}

/** Section `shutdown`: how long a graceful shutdown waits for requests in progress. */
data class ShutdownSettings(val graceMillis: Long = DEFAULT_GRACE_MILLIS) {
    companion object {
        const val DEFAULT_GRACE_MILLIS = 10_000L
        val GRACE_MILLIS_RANGE = 0L..3_600_000L
    }
}

/** Section `log`: the lowest [level] that is written. */
data class LogSettings(val level: LogLevel = LogLevel.INFO)

/** Severities of log lines, lowest first. */
enum class LogLevel { TRACE, DEBUG, INFO, WARN, ERROR }
