package sycamoremast.bench

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ResultTableTest {
    @Test
    fun `a table is written as CSV with quotes where they are needed`() {
        val table = ResultTable("t", listOf("a", "b"), listOf(listOf("1", "x,\"y\"")))
        expectThat(table.toCsv(listOf("seed 1"))).isEqualTo("# seed 1\na,b\n1,\"x,\"\"y\"\"\"\n")
        expectThat(table.toText()).isEqualTo("a  b\n1  x,\"y\"\n")
    }

    @Test
    fun `a row with a missing cell is refused`() {
        assertThrows<IllegalArgumentException> {
            ResultTable("t", listOf("a", "b"), listOf(listOf("1")))
        }
    }

    @Test
    fun `numbers are shown with four significant digits`() {
        val shown = listOf(0.0, 1.23456, 12_345.6, Double.NaN).map(::cell)
        expectThat(shown).isEqualTo(listOf("0", "1.235", "12346", "-"))
    }
}
