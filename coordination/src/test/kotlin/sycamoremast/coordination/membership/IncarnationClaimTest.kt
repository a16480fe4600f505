package sycamoremast.coordination.membership

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class IncarnationClaimTest {
    @Test
    fun `an incarnation is raised above one used before, as after a clock went back`() {
        val claim = IncarnationClaim(100)
        expectThat(claim.observe(99)).isFalse()
        expectThat(claim.observe(250)).isTrue()
        expectThat(claim.value).isEqualTo(251)
        expectThat(claim.supersededBy).isNull()
    }

    @Test
    fun `an established process is superseded by a higher incarnation`() {
        val claim = IncarnationClaim(100)
        claim.establish()
        expectThat(claim.observe(101)).isFalse()
        expectThat(claim.value).isEqualTo(100)
        expectThat(claim.supersededBy).isEqualTo(101)
    }
}
