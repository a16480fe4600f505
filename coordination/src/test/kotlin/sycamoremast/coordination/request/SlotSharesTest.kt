/** Tests the division of slots among hosts. */
package sycamoremast.coordination.request

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import sycamoremast.coordination.membership.MemberState.GONE
import sycamoremast.coordination.membership.MemberState.LIVE
import sycamoremast.coordination.membership.MemberState.SUSPECT

class SlotSharesTest {
    @ParameterizedTest
    @CsvSource("8, 1", "8, 3", "8, 7", "8, 9", "64, 7", "0, 3")
    fun `shares add up to the limit and differ by at most one`(limit: Int, count: Int) {
        val hosts = (1..count).map { "entry-$it" }.toSet()
        for (instance in 1..50) {
            val shares = hosts.map { shareOf(limit, "backend-$instance", hosts, it) }
            expectThat(shares.sum()).isEqualTo(limit)
            expectThat(shares).all { isIn(limit / count..limit / count + 1) }
        }
    }

    @Test
    fun `distributes the remainders of the instances evenly over the hosts`() {
        val hosts = (1..7).map { "entry-$it" }.toSet()
        val extras = hosts.map { host ->
            (1..700).sumOf { shareOf(8, "backend-$it", hosts, host) - 1 }
        }
        expectThat(extras).all { isIn(60..140) }
    }

    @Test
    fun `returns 0 for a host that is not counted`() {
        expectThat(shareOf(8, "backend-1", setOf("entry-2"), "entry-1")).isEqualTo(0)
    }

    @Test
    fun `counts a suspect host, and a gone one for a limited time`() {
        val counted = CountedHosts("a", ShareTimes(joinMillis = 0, goneMillis = 500))
        expectThat(counted.observe(mapOf("b" to LIVE, "c" to SUSPECT), 0))
            .containsExactlyInAnyOrder("a", "b", "c")
        expectThat(counted.observe(mapOf("b" to LIVE, "c" to GONE), 400))
            .containsExactlyInAnyOrder("a", "b", "c")
        expectThat(counted.observe(mapOf("b" to LIVE, "c" to GONE), 600))
            .containsExactlyInAnyOrder("a", "b")
    }

    @Test
    fun `a host counts itself only some time after a start or a pause`() {
        val times = ShareTimes(joinMillis = 1_000, pauseMillis = 500)
        val counted = CountedHosts("a", times)
        val seen = listOf(0L, 400L, 800L, 1_000L, 5_000L, 5_400L, 5_800L, 6_000L)
            .map { "a" in counted.observe(emptyMap(), it) }
        expectThat(seen)
            .isEqualTo(listOf(false, false, false, true, false, false, false, true))
    }
}
