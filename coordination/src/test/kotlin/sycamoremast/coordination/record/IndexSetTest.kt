package sycamoremast.coordination.record

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class IndexSetTest {
    @ParameterizedTest
    @CsvSource("'',0", "3,1", "0-9,10", "'0-9,12',11", "'1,3,5-7',5")
    fun `parse and toString are inverse`(text: String, size: Int) {
        val set = IndexSet.parse(text)
        expectThat(set.toString()).isEqualTo(text)
        expectThat(set.size).isEqualTo(size)
    }

    @ParameterizedTest
    @ValueSource(strings = ["a", "-1", "3-1", "1,,2", "1-"])
    fun `parse rejects text that is not a list of ranges`(text: String) {
        expectThat(IndexSet.parseOrNull(text)).isEqualTo(null)
        expectThrows<IllegalArgumentException> { IndexSet.parse(text) }
    }

    @Test
    fun `adjacent and overlapping ranges are merged`() {
        expectThat((IndexSet.parse("0-3,8") + listOf(4, 5, 7, 9, 2)).toString())
            .isEqualTo("0-5,7-9")
    }

    @Test
    fun `contains accepts the ends of each range and nothing between ranges`() {
        val set = IndexSet.parse("2-4,7")
        listOf(2, 3, 4, 7).forEach { expectThat(it in set).isTrue() }
        listOf(0, 1, 5, 6, 8).forEach { expectThat(it in set).isFalse() }
    }
}
