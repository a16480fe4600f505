package sycamoremast.bench

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ResultTableTest {
    @Test
    fun `toCsv quotes only cells that need it`() {
        val table = ResultTable("t", listOf("a", "b"), listOf(listOf("1", "x,\"y\"")))
        expectThat(table.toCsv(listOf("seed 1"))).isEqualTo("# seed 1\na,b\n1,\"x,\"\"y\"\"\"\n")
        expectThat(table.toText()).isEqualTo("a  b\n1  x,\"y\"\n")
    }

    @Test
    fun `rejects a row with a missing cell`() {
        assertThrows<IllegalArgumentException> {
            ResultTable("t", listOf("a", "b"), listOf(listOf("1")))
        }
    }

    @Test
    fun `cell returns numbers with four significant digits`() {
        val shown = listOf(0.0, 1.23456, 12_345.6, Double.NaN).map(::cell)
        expectThat(shown).isEqualTo(listOf("0", "1.235", "12346", "-"))
    }
}
