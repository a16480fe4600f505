package sycamoremast.configuration

import java.nio.file.Path
import kotlin.io.path.readText
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ExamplesTest {
    private val examples = Path.of("..", "examples")

    @Test
    fun `the example program of BKTIB prints its INI file`() {
        expectThat(bktib().getOrNull()?.toIni())
            .isEqualTo(examples.resolve("bktib/bktib.ini").readText())
    }

    @Test
    fun `toIni reproduces the INI file of the Régie`() {
        val text = examples.resolve("regie/regie.ini").readText()
        expectThat(TeamConfiguration.parse("regie.ini", text).getOrNull()).isNotNull()
            .get { toIni() }.isEqualTo(text)
    }
}
