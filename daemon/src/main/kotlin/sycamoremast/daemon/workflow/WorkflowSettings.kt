/** The settings of a host that schedules workflows, read from an INI file. */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.nullable
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import sycamoremast.configuration.Endpoint
import sycamoremast.configuration.ini.IniDocument
import sycamoremast.configuration.ini.IniError
import sycamoremast.configuration.ini.SectionReader
import sycamoremast.coordination.workflow.SchedulerSettings

/** The [value] at [key] is a default, as the deployment tells none: [reason] says how. */
data class SettingDefault(val key: String, val value: String, val reason: String)

/**
 * The settings of one host.
 *
 * [drainMillis] is how long a stopping host continues to answer callers; it has to be well below
 * [graceMillis], the time after which the platform kills it. [cores] is the processing power that
 * the host may use: its share of the processor multiplied by the processor's speed in cores.
 * [statusMillis] is how long after its end the state of a workflow has to be known. [defaults] are
 * the settings that the deployment doesn't tell although the host asks for them. Other hosts connect
 * to [advertisedPeers] where that differs from [peers].
 */
data class WorkflowSettings(
    val host: String,
    val availabilityZone: String,
    val requests: Endpoint,
    val readiness: Endpoint,
    val metrics: Endpoint,
    val peers: Endpoint,
    val storeAddress: Endpoint,
    val leaseMillis: Long = SchedulerSettings.DEFAULT_LEASE_MILLIS,
    val stopMillis: Long = SchedulerSettings.DEFAULT_STOP_MILLIS,
    val drainMillis: Long = DEFAULT_DRAIN_MILLIS,
    val cores: Double = 1.0,
    val limits: WorkflowLimits = WorkflowLimits(),
    val graceMillis: Long = defaultGraceMillis(drainMillis),
    val defaults: List<SettingDefault> = emptyList(),
    val statusMillis: Long = SchedulerSettings.DEFAULT_STATUS_MILLIS,
    val advertisedPeers: Endpoint? = null
) {
    /** How long a stopping owner may go on in an outage of the store. */
    val longestHandOverMillis: Long get() = (graceMillis - STOP_MARGIN_MILLIS).coerceAtLeast(0)

    companion object {
        /** Two failed readiness checks a second apart, plus a second for requests in flight. */
        const val DEFAULT_DRAIN_MILLIS = 3_000L

        /** Covers a last call of the store without an answer, and the end of the process. */
        private const val STOP_MARGIN_MILLIS = 1_000L

        /** The longest time that a hand-over takes while the store answers. */
        private const val HAND_OVER_MILLIS = 3_000L
        private const val LONGEST_GRACE_SECONDS = 600.0
        private const val MILLIS_PER_SECOND = 1_000
        private const val STATUS_KEY = "status-seconds"
        private const val LONGEST_STATUS_SECONDS = 86_400.0
        private const val STATUS_RULE =
            "must be a number above 0 and up to $LONGEST_STATUS_SECONDS"
        private const val GRACE_KEY = "grace-seconds"
        private const val GRACE_RULE = "must be a number above 0 and up to $LONGEST_GRACE_SECONDS"

        /**
         * Without a told time a stop takes no longer in an outage of the store than it may where
         * the store answers: callers are drained while the owner hands over.
         *
         * If that is too short, leases lapse in a longer outage. If it is too long, the owner is
         * killed before it tells the other hosts of its end, and its successor waits for all
         * leases that it may have extended.
         */
        private fun defaultGraceMillis(drainMillis: Long) =
            maxOf(drainMillis, HAND_OVER_MILLIS) + STOP_MARGIN_MILLIS

        /** The progress of so many tasks, about 50 bytes each, fits into one record of 1 MB. */
        const val DEFAULT_MAX_TASKS_PER_WORKFLOW = 10_000L
        private val TASKS_PER_WORKFLOW_RANGE = 1L..20_000L
        private val OPEN_TASKS_RANGE = 1_000L..10_000_000L
        private val LEASE_RANGE = 500L..600_000L
        private val STOP_RANGE = 0L..60_000L
        private val DRAIN_RANGE = 0L..60_000L

        /** Returns the settings that [text] holds; unknown sections and keys are errors. */
        fun parse(file: String, text: String): Either<NonEmptyList<IniError>, WorkflowSettings> =
            IniDocument.parse(file, text).flatMap(::read)

        /** Returns the settings that [text] holds, or null if it has an error. */
        fun parseOrNull(text: String): WorkflowSettings? = parse("", text).getOrNull()

        private fun read(document: IniDocument): Either<NonEmptyList<IniError>, WorkflowSettings> {
            val errors = mutableListOf<IniError>()
            val settings = SettingsSections(document, errors).read()
            val sorted = errors.sortedBy { it.line }.toNonEmptyListOrNull()
            return sorted?.left() ?: checkNotNull(settings).right()
        }

        private class Times(
            val leaseMillis: Long,
            val stopMillis: Long,
            val drainMillis: Long,
            val graceMillis: Long,
            val statusMillis: Long
        )

        private class SettingsSections(
            private val document: IniDocument,
            private val errors: MutableList<IniError>
        ) {
            private val defaults = mutableListOf<SettingDefault>()

            fun read(): WorkflowSettings? {
                val host = section("host") { text("name") to text("availability-zone") }
                val listen = section("listen") {
                    Triple(endpoint("requests"), endpoint("readiness"), endpoint("metrics"))
                        .let { if (has("peers")) it to endpoint("peers") else it to NO_PEERS }
                }
                val advertised = optionalSection("advertise", null) { endpoint("peers") }
                val cores = optionalSection("capacity", 1.0) { cores() }
                val store = section("store") { endpoint("address") }
                val times = section("times") { times() }
                val limits = optionalSection("limits", WorkflowLimits()) { limits() }
                document.sections.filter { it.name !in SECTIONS }.forEach {
                    errors += IniError(document.file, it.line, it.name, "", "unknown section")
                }
                return nullable {
                    WorkflowSettings(
                        host.bind().first.bind(),
                        host.bind().second.bind(),
                        listen.bind().first.first.bind(),
                        listen.bind().first.second.bind(),
                        listen.bind().first.third.bind(),
                        listen.bind().second.bind(),
                        store.bind(),
                        times.bind().leaseMillis,
                        times.bind().stopMillis,
                        times.bind().drainMillis,
                        cores.bind(),
                        limits.bind(),
                        times.bind().graceMillis,
                        defaults,
                        times.bind().statusMillis,
                        advertised
                    )
                }
            }

            private fun SectionReader.times(): Times? {
                val lease = long("lease-millis", LEASE_RANGE)
                val stop = long("stop-millis", STOP_RANGE)
                val drain = long("drain-millis", DRAIN_RANGE, DEFAULT_DRAIN_MILLIS)
                val grace = graceMillis(drain ?: DEFAULT_DRAIN_MILLIS)
                val status = millis(
                    STATUS_KEY,
                    SchedulerSettings.DEFAULT_STATUS_MILLIS,
                    STATUS_RULE,
                    LONGEST_STATUS_SECONDS
                )
                return nullable {
                    Times(lease.bind(), stop.bind(), drain.bind(), grace.bind(), status.bind())
                }
            }

            private fun SectionReader.graceMillis(drainMillis: Long): Long? = millis(
                GRACE_KEY,
                defaultGraceMillis(drainMillis),
                GRACE_RULE,
                LONGEST_GRACE_SECONDS
            )

            /** Returns a told number of seconds in milliseconds, or [default] if none is told. */
            private fun SectionReader.millis(
                key: String,
                default: Long,
                rule: String,
                longestSeconds: Double
            ): Long? {
                val untoldReason = untoldReasonOrNull(key)
                    ?: return convert(key, null, rule) { parseMillisOrNull(it, longestSeconds) }
                val seconds = default.toDouble() / MILLIS_PER_SECOND
                defaults += SettingDefault(key, "$seconds", untoldReason)
                return default
            }

            private fun parseMillisOrNull(text: String, longestSeconds: Double): Long? =
                text.toDoubleOrNull()?.takeIf { it > 0 && it <= longestSeconds }
                    ?.let { (it * MILLIS_PER_SECOND).toLong() }

            private fun SectionReader.cores(): Double? {
                val share = positiveNumber("cpu-share")
                val speed = positiveNumber("cores")
                return if (share == null || speed == null) null else share * speed
            }

            private fun SectionReader.limits(): WorkflowLimits? {
                val perWorkflow = long(
                    "max-tasks-per-job",
                    TASKS_PER_WORKFLOW_RANGE,
                    DEFAULT_MAX_TASKS_PER_WORKFLOW
                )
                val open = long(
                    "max-open-tasks",
                    OPEN_TASKS_RANGE,
                    SchedulerSettings.DEFAULT_MAX_OPEN_TASKS
                )
                return if (perWorkflow == null || open == null) {
                    null
                } else {
                    WorkflowLimits(perWorkflow, open)
                }
            }

            private fun SectionReader.positiveNumber(key: String): Double? =
                convert(key, null, "must be a number above 0") { text ->
                    text.toDoubleOrNull()?.takeIf { it > 0 && it.isFinite() }
                }

            private fun <T : Any> optionalSection(
                name: String,
                default: T?,
                read: SectionReader.() -> T?
            ): T? = if (document.section(name) == null) default else section(name, read)

            private fun <T : Any> section(name: String, read: SectionReader.() -> T?): T? {
                val section = document.section(name)
                if (section == null) {
                    val end = document.lineCount
                    errors += IniError(document.file, end, name, "", "the section is missing")
                    return null
                }
                val reader = SectionReader(document, section, errors)
                return reader.read().also { reader.rejectUnknownKeys() }
            }
        }

        private val SECTIONS =
            setOf("host", "listen", "advertise", "store", "times", "capacity", "limits")

        /** Means that the host has no peers; no port is opened for them. */
        val NO_PEERS = Endpoint("0.0.0.0", 0)
    }
}
