package sycamoremast.configuration.ini

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class SectionReaderTest {
    private val errors = mutableListOf<IniError>()

    private fun reader(entry: String): SectionReader {
        val document = checkNotNull(IniDocument.parse("a.ini", "[a]\n$entry").getOrNull())
        return SectionReader(document, checkNotNull(document.section("a")), errors)
    }

    @Test
    fun `a value is not told if its key is missing, it is empty or a placeholder is left`() {
        expectThat(reader("y = 1").untoldReasonOrNull("x")).isEqualTo("the key is missing")
        expectThat(reader("x =").untoldReasonOrNull("x")).isEqualTo("the value is empty")
        for (placeholder in listOf("{{a.b}}", "{{ a }}", "{{a|json}}")) {
            expectThat(reader("x = $placeholder").untoldReasonOrNull("x")).isNotNull()
                .isEqualTo("the placeholder $placeholder is not filled in")
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["0", "abc", "{}", "{{a", "{{a}}s", "{{a}}:{{b}}", "{{a}}{{b}}"])
    fun `any other value is told`(value: String) {
        expectThat(reader("x = $value").untoldReasonOrNull("x")).isNull()
    }

    @Test
    fun `a key that may be untold is known`() {
        reader("x =").apply { untoldReasonOrNull("x") }.rejectUnknownKeys()
        expectThat(errors).isEmpty()
    }
}
