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
    fun `the example program prints the file of BKTIB`() {
        expectThat(bktib().getOrNull()?.toIni())
            .isEqualTo(examples.resolve("bktib/bktib.ini").readText())
    }

    @Test
    fun `the file of the Régie is printed as it parses`() {
        val text = examples.resolve("regie/regie.ini").readText()
        expectThat(TeamConfiguration.parse("regie.ini", text).getOrNull()).isNotNull()
            .get { toIni() }.isEqualTo(text)
    }
}
