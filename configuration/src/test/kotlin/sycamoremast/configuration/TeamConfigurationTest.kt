package sycamoremast.configuration

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.Codepoint
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.of
import io.kotest.property.arbitrary.orNull
import io.kotest.property.arbitrary.printableAscii
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class TeamConfigurationTest {
    private val names = Arb.string(1..20, Arb.of(('a'..'z') + ('0'..'9') + '-').codepoints())
    private val durations = arbitrary {
        val millis = Arb.long(1L..400.days.inWholeMilliseconds).bind()
        val unit = Arb.of(1L, 1_000L, 60_000L, 3_600_000L, 86_400_000L).bind()
        (millis / unit * unit).coerceAtLeast(1).milliseconds
    }
    private val routes = arbitrary {
        Route(
            names.bind(),
            "/" + names.bind(),
            durations.bind(),
            Arb.boolean().bind()
        )
    }
    private val services = arbitrary {
        Service(
            names.bind(),
            durations.bind(),
            Arb.list(routes, 0..4).bind().distinctBy { it.name }.distinctBy { it.pathPrefix },
            Arb.int(0..100).bind()
        )
    }
    private val jobs = arbitrary {
        Job(
            names.bind(),
            names.bind(),
            Arb.int(1..100_000).bind(),
            Arb.long(1L..64_000L).bind(),
            Arb.long(1L..250_000L).bind(),
            Arb.long(0L..8L).bind(),
            durations.bind(),
            Arb.enum<Repeat>().bind(),
            Arb.enum<Urgency>().bind(),
            durations.orNull().bind(),
            Arb.string(0..30, Codepoint.printableAscii()).bind().trim()
        )
    }
    private val configurations = arbitrary {
        TeamConfiguration(
            names.bind(),
            Quota(Arb.long(64_000L..9_000_000L).bind(), 250_000, Arb.long(8L..99L).bind()),
            Arb.list(services, 0..4).bind().distinctBy { it.name },
            Arb.list(jobs, 0..4).bind().distinctBy { it.name }
        )
    }

    private fun Arb<Char>.codepoints() = map { Codepoint(it.code) }

    private fun errors(text: String) = TeamConfiguration.parse("t.ini", text).fold({ all ->
        all.map { it.render() }
    }, { listOf() })

    @Test
    fun `parse returns a configuration equal to the printed one`() {
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = 500), configurations) {
                expectThat(TeamConfiguration.parse("t.ini", it.toIni()).getOrNull()).isEqualTo(it)
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
        "[host a], 't.ini:1: [host a] the section is unknown; known are [team NAME], " +
            "[service NAME], [route SERVICE NAME], [job NAME]'",
        "[team b], t.ini:4: [team b] a file holds one team only",
        "[service], 't.ini:4: [service] the section is unknown; known are [team NAME], " +
            "[service NAME], [route SERVICE NAME], [job NAME]'",
        "[route x y]/path-prefix = //expected = 1s, t.ini:4: [route x y] there is no [service x]",
        "[service x]/deadline = 7, 't.ini:5: [service x] deadline: must be a duration such as " +
            "250ms, 7s or 36h, but is ''7'''",
        "[service x]/deadline = 0s, 't.ini:5: [service x] deadline: must be whole milliseconds " +
            "from 1ms to 400d, but is 0s'",
        "[service X]/deadline = 7s, 't.ini:4: [service X] the name must be 1 to 63 of a-z, 0-9 " +
            "and -, but is ''X'''",
        "[service x]/deadline = 7s/retry-percent = 101, " +
            "'t.ini:6: [service x] retry-percent: must be from 0 to 100, but is 101'"
    )
    fun `an error is reported at its line`(lines: String, expected: String) {
        val team = if (lines == "[host a]") "" else "[team a]\nmilli-cpus = 0\nmemory-mib = 0\n"
        val text = team + lines.replace(Regex("/(?!/|expected = 1s/)"), "\n")
        expectThat(errors(text).first { !it.contains("no section") }).isEqualTo(expected)
    }

    @Test
    fun `parse reports all validation errors with their lines`() {
        val text = """
            [team a]
            milli-cpus = 1000
            memory-mib = 1000

            [job survey]
            availability-zone = Gauja
            tasks = 0
            milli-cpus = 1001
            memory-mib = 0
            expected = 36h
        """.trimIndent()
        expectThat(errors(text)).containsExactly(
            "t.ini:6: [job survey] availability-zone: must be 1 to 63 of a-z, 0-9 and -, " +
                "but is 'Gauja'",
            "t.ini:7: [job survey] tasks: must be from 1 to 100000, but is 0",
            "t.ini:8: [job survey] milli-cpus: can never run: 1001 is above quota 1000",
            "t.ini:9: [job survey] memory-mib: must be at least 1, but is 0"
        )
        expectThat(TeamConfiguration.parseOrNull(text)).isNull()
    }

    @Test
    fun `team returns all validation errors`() {
        val errors = team("a") {
            quota(milliCpus = 1000, memoryMib = 1000)
            service("s") {
                route("r", "/r", expected = 1.seconds)
                route("q", "/r", expected = 1.seconds)
                route("r", "x y", expected = 1.seconds)
            }
        }.fold({ all -> all.map { it.render() } }, { listOf() })
        expectThat(errors).containsExactly(
            "[service s] deadline: must be whole milliseconds from 1ms to 400d, but is 0s",
            "[route s r] path-prefix: must be a path that starts with / and has no blanks, " +
                "? or #, but is 'x y'",
            "[route s r] the section occurs 2 times",
            "[route s q] path-prefix: is already the prefix of route r"
        )
    }

    private companion object {
        const val SEED = 20_260_310L
    }
}
