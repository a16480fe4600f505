package sycamoremast.configuration.ini

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class IniDocumentTest {
    private fun errors(text: String) =
        IniDocument.parse("a.ini", text).fold({ all -> all.map { it.render() } }, { listOf() })

    @Test
    fun `parse returns sections and entries with their lines`() {
        val text = """
            # a comment

            [host]
            name = gauja-1

            ; another
            [service inspection-report]
            command = run --at=12:30 \
            deadline=7s
        """.trimIndent()
        val sections = IniDocument.parse("a.ini", text).getOrNull()?.sections.orEmpty()
        expectThat(sections).containsExactly(
            IniSection("host", 3, listOf(IniEntry("name", "gauja-1", 4))),
            IniSection(
                "service inspection-report",
                7,
                listOf(
                    IniEntry("command", """run --at=12:30 \""", 8),
                    IniEntry("deadline", "7s", 9)
                )
            )
        )
    }

    @ParameterizedTest
    @CsvSource(
        "[a]/x = 1/[a],            a.ini:3: [a] the section is already defined at line 1",
        "[a]/x = 1/x = 2,          a.ini:3: [a] x: the key is already set at line 2",
        "x = 1,                    a.ini:1: the entry stands before the first section: x = 1",
        "[a]/nonsense,             'a.ini:2: [a] the line is neither [section] nor key = value: " +
            "nonsense'",
        "[a,                       a.ini:1: the section header is not of the form [name]: [a",
        "[],                       a.ini:1: the section header is not of the form [name]: []",
        "[a]/ = 1,                 a.ini:2: [a] the entry has no key: = 1"
    )
    fun `an error names its file, line, section and key`(lines: String, expected: String) {
        expectThat(errors(lines.replace('/', '\n'))).containsExactly(expected)
    }

    @Test
    fun `parse reports all errors in order of line`() {
        val errors = errors("[a]\nx = 1\nx = 2\nnonsense\n[b\ny = 1\n[a]\nz = \u0000")
        expectThat(errors.map { it.split(':')[1] }).isEqualTo(listOf("3", "4", "5", "7", "8"))
    }
}
