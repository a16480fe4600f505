package sycamoremast.daemon.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import sycamoremast.daemon.control.Member
import sycamoremast.daemon.control.MembershipView

class DispatcherTest {
    private class Self(@Volatile override var self: Member) : MembershipView {
        override fun members() = listOf(self)
    }

    private fun Dispatcher.nextRound(): Long = withQueues { _, ledger, now ->
        ledger.requestLoan("entry-2", emptyMap(), wanted = 1, now.toLong()).number
    }

    // Otherwise lenders would ignore the requests of a host that restarted with an earlier clock.
    @Test
    fun `numbers loan rounds above those of an earlier process whose clock was ahead`() {
        val earlier = Dispatcher(Self(FakeMembership.member("entry-1", 200)), TEST_SETTINGS)
        earlier.tick()
        val membership = Self(FakeMembership.member("entry-1", 100))
        val dispatcher = Dispatcher(membership, TEST_SETTINGS)
        dispatcher.tick()
        dispatcher.nextRound()
        membership.self = FakeMembership.member("entry-1", 201)
        dispatcher.tick()
        expectThat(dispatcher.nextRound()).isGreaterThan(earlier.nextRound())
    }
}
