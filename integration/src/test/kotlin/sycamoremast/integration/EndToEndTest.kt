package sycamoremast.integration

import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class EndToEndTest {
    private val zones = listOf("gauja", "sigulda", "cesis")

    @Test
    fun `serves requests and finishes jobs of a submitted configuration`() {
        Deployment(Layout(zones)).use { deployment ->
            val configuration = bktib {
                zones.forEach { survey("$it-survey", it, tasks = 3, expected = 500.milliseconds) }
            }
            val file = EntryHostProcess.settingsFile("bktib", configuration.toIni())
            val never = bktib {
                job("giant") {
                    availabilityZone = "gauja"
                    resources(milliCpus = 90_000, memoryMib = 512)
                    expected = 1.seconds
                }
            }
            val neverFile = EntryHostProcess.settingsFile("never", never.toIni())
            val refused = sycamore(deployment, "submit", "$neverFile")
            expectThat(refused.first).isEqualTo(2)
            expectThat(refused.second).contains("job giant can never run: ")
            val submitted = sycamore(deployment, "submit", "--wait", "$file")
            expectThat(submitted.first).isEqualTo(0)
            expectThat(submitted.second).contains("bktib: accepted as revision")
            for ((i, daemon) in deployment.daemons.withIndex()) {
                expectThat(call(daemon.requests, Request("whole-$i"))).isEqualTo(Outcome.WHOLE)
            }
            for (zone in zones) {
                deployment.awaitJob(deployment.daemons.first(), "$zone-survey", "finished")
                expectFinishedOnce(deployment.platform.runs(), "$zone-survey", tasks = 3)
            }
            expectThat(deployment.daemons.flatMap { it.problems() }).isEmpty()
            expectThat(sycamore(deployment, "audit").second).contains("submit")
        }
    }

    private fun sycamore(deployment: Deployment, vararg args: String): Pair<Int, String> {
        val daemon = deployment.daemons.first().process.address("operators")
        val words = listOf("--daemon", daemon, "--operator", "liga") + args
        return JavaProcess.start("sycamore", "sycamoremast.cli.MainKt", words).use {
            it.awaitExit() to it.output().joinToString("\n")
        }
    }

    @Test
    fun `rejects invalid settings with all errors and exit code 2`() {
        val file = EntryHostProcess.settingsFile("bad", "[host]\nname = A\n[hosts]\n")
        JavaProcess.start("check", EntryHostProcess.MAIN_CLASS, check(file)).use {
            expectThat(it.awaitExit()).isEqualTo(2)
            expectThat(it.output().map { line -> line.removePrefix("$file:") })
                .containsExactlyInAnyOrder(
                    "2: [host] name: must be 1 to 63 of a-z, 0-9 and -, but is 'A'",
                    "1: [host] availability-zone: the key is missing",
                    "3: [listen] the section is missing",
                    "3: [key-value] the section is missing",
                    "3: [host-list] the section is missing",
                    "3: [hosts] the section is unknown; known are host, listen, advertise, " +
                        "key-value, host-list, peers, requests, batch, shutdown, log"
                )
        }
    }

    @Test
    fun `accepts the settings of the examples`() {
        val files = listOf("bktib/hosts/gauja-1.ini", "regie/hosts/guinguineo-1.ini")
            .map { Path.of("..", "examples", it) }
        val checks = files.map {
            JavaProcess.start("check", EntryHostProcess.MAIN_CLASS, check(it))
        }
        expectThat(checks.map { it.use { check -> check.awaitExit() } }).isEqualTo(listOf(0, 0))
        expectThat(checks).hasSize(files.size)
    }

    private fun check(file: Path) = listOf("--settings", "$file", "--check")
}
