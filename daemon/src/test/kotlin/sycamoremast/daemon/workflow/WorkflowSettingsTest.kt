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
                get { defaults }.containsExactly(SettingDefault("grace-seconds", "4.0", reason))
            }
        }
    }

    @Test
    fun `uses a grace period that is told and no default`() {
        expectThat(WorkflowSettings.parseOrNull("$text\ngrace-seconds = 6")).isNotNull().and {
            get { graceMillis }.isEqualTo(6_000)
            get { defaults }.isEmpty()
        }
    }

    @Test
    fun `rejects a grace period that is told and not a positive number of seconds`() {
        val malformed =
            listOf("0", "-1", "NaN", "601", "6s", "abc", "{{a}}s", "{{a}}{{b}}", "{{a", "{}")
        for (grace in malformed) {
            val errors = WorkflowSettings.parse("node.ini", "$text\ngrace-seconds = $grace")
                .leftOrNull().orEmpty()
            expectThat(errors.map { it.render() }).describedAs(grace)
                .any { contains("grace-seconds") }
        }
    }

    // Only the grace period has a default that is safe on each platform.
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
