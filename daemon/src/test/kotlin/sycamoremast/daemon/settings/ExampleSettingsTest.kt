package sycamoremast.daemon.settings

import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class ExampleSettingsTest {
    @ParameterizedTest
    @CsvSource("bktib, 6, 3", "regie, 7, 4")
    fun `the settings of every example host are valid`(name: String, hosts: Int, zones: Int) {
        val files = Path.of("..", "examples", name, "hosts").listDirectoryEntries("*.ini").sorted()
        val settings = files.map { file ->
            DaemonSettings.parse(file.toString(), file.readText())
                .fold({ error(it.joinToString("\n")) }, { it })
        }
        expectThat(settings.map { it.host.name }).isEqualTo(files.map { it.nameWithoutExtension })
        expectThat(settings).hasSize(hosts)
        expectThat(settings.map { it.host.availabilityZone }.toSet()).hasSize(zones)
        expectThat(settings.map { it.listen.peers }.toSet()).hasSize(hosts)
    }
}
