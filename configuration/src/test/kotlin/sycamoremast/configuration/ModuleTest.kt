package sycamoremast.configuration

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotEmpty

class ModuleTest {
    @Test
    fun `module has a name`() {
        expectThat("configuration").isNotEmpty()
    }
}
