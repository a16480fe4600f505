package sycamoremast.daemon.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.configuration.Endpoint

class WorkflowSettingsTest {
    private val text = """
        [host]
        name = front-gauja-1
        availability-zone = gauja
        [listen]
        requests = 127.0.0.1:8161
        readiness = 127.0.0.1:8167
        metrics = 127.0.0.1:7720
        [store]
        address = 127.0.0.1:8169
        [times]
        lease-millis = 6000
        stop-millis = 200
    """.trimIndent()

    @Test
    fun `parses settings and applies defaults`() {
        val settings = WorkflowSettings.parseOrNull(text)
        expectThat(settings).isNotNull().and {
            get { host }.isEqualTo("front-gauja-1")
            get { storeAddress }.isEqualTo(Endpoint("127.0.0.1", 8169))
            get { drainMillis }.isEqualTo(WorkflowSettings.DEFAULT_DRAIN_MILLIS)
        }
    }

    @Test
    fun `parses limits`() {
        val limits = "\n[limits]\nmax-tasks-per-job = 500\nmax-open-tasks = 9000"
        expectThat(WorkflowSettings.parseOrNull(text + limits)).isNotNull()
            .get { this.limits }.isEqualTo(WorkflowLimits(500, 9_000))
        expectThat(WorkflowSettings.parseOrNull(text + limits.replace("500", "0"))).isNull()
    }

    @Test
    fun `parses the address that other hosts connect to`() {
        val advertise = "\n[advertise]\npeers = 127.0.0.2:7721"
        expectThat(WorkflowSettings.parseOrNull(text + advertise)).isNotNull()
            .get { advertisedPeers }.isEqualTo(Endpoint("127.0.0.2", 7721))
        expectThat(WorkflowSettings.parseOrNull(text)).isNotNull()
            .get { advertisedPeers }.isNull()
        expectThat(WorkflowSettings.parseOrNull("$text\n[advertise]\npeers = x")).isNull()
        expectThat(WorkflowSettings.parseOrNull("$text\n[advertise]")).isNull()
    }

    @Test
    fun `leaves a margin before the end of the grace period`() {
        expectThat(WorkflowSettings.parseOrNull("$text\ngrace-seconds = 6.5")).isNotNull().and {
            get { graceMillis }.isEqualTo(6_500)
            get { longestHandOverMillis }.isEqualTo(5_500)
        }
        expectThat(WorkflowSettings.parseOrNull("$text\ngrace-seconds = 0.5")).isNotNull()
            .get { longestHandOverMillis }.isEqualTo(0)
    }

    @Test
    fun `assumes a grace period that leaves time to drain and to hand over`() {
        for ((drain, grace) in listOf("8000" to 9_000L, "3000" to 4_000L, "0" to 4_000L)) {
            expectThat(WorkflowSettings.parseOrNull("$text\ndrain-millis = $drain")).isNotNull()
                .get { graceMillis }.isEqualTo(grace)
        }
    }

    @Test
    fun `uses the default for a grace period that is not told and says why`() {
        val reasons = mapOf(
            text to "the key is missing",
            "$text\ngrace-seconds =" to "the value is empty",
            "$text\ngrace-seconds = {{times.grace}}" to
                "the placeholder {{times.grace}} is not filled in"
        )
        for ((settings, reason) in reasons) {
            expectThat(WorkflowSettings.parseOrNull(settings)).isNotNull().and {
                get { graceMillis }.isEqualTo(4_000)
                get { defaults }.containsExactly(
                    SettingDefault("grace-seconds", "4.0", reason),
                    SettingDefault("status-seconds", "120.0", "the key is missing")
                )
            }
        }
    }

    @Test
    fun `uses times that are told and no defaults`() {
        val told = "$text\ngrace-seconds = 6\nstatus-seconds = 90.5"
        expectThat(WorkflowSettings.parseOrNull(told)).isNotNull().and {
            get { graceMillis }.isEqualTo(6_000)
            get { statusMillis }.isEqualTo(90_500)
            get { defaults }.isEmpty()
        }
    }

    // Guards against records that are deleted too early where the platform tells no time (LOST).
    @Test
    fun `uses the default for how long states are known if it is not told`() {
        val reasons = mapOf(
            "$text\ngrace-seconds = 6" to "the key is missing",
            "$text\ngrace-seconds = 6\nstatus-seconds =" to "the value is empty",
            "$text\ngrace-seconds = 6\nstatus-seconds = {{bounds.status_s}}" to
                "the placeholder {{bounds.status_s}} is not filled in"
        )
        for ((settings, reason) in reasons) {
            expectThat(WorkflowSettings.parseOrNull(settings)).isNotNull().and {
                get { statusMillis }.isEqualTo(120_000)
                get { defaults }.containsExactly(SettingDefault("status-seconds", "120.0", reason))
            }
        }
    }

    @Test
    fun `rejects times that are told and not a positive number of seconds`() {
        val malformed =
            listOf("0", "-1", "NaN", "6s", "abc", "{{a}}s", "{{a}}{{b}}", "{{a", "{}")
        for ((key, longest) in mapOf("grace-seconds" to "601", "status-seconds" to "86401")) {
            for (value in malformed + longest) {
                val errors = WorkflowSettings.parse("node.ini", "$text\n$key = $value")
                    .leftOrNull().orEmpty()
                expectThat(errors.map { it.render() }).describedAs("$key $value")
                    .any { contains(key) }
            }
        }
    }

    // Only the times above have defaults that are safe on each platform.
    @Test
    fun `rejects other times that are not told`() {
        for (told in listOf("lease-millis = 6000", "stop-millis = 200")) {
            val key = told.substringBefore(' ')
            for (untold in listOf("$key =", "$key = {{times.other}}")) {
                val errors = WorkflowSettings.parse("node.ini", text.replace(told, untold))
                    .leftOrNull().orEmpty()
                expectThat(errors.map { it.render() }).describedAs(untold).any { contains(key) }
            }
        }
    }

    @Test
    fun `reports every error`() {
        val broken = text.replace("6000", "soon").replace("[store]", "[shop]")
        val errors = WorkflowSettings.parse("node.ini", broken).leftOrNull().orEmpty()
        expectThat(errors.map { it.render() }) {
            any { contains("lease-millis") }
            any { contains("[store]") }
            any { contains("[shop]") }
        }
        expectThat(WorkflowSettings.parseOrNull(broken)).isNull()
    }
}
