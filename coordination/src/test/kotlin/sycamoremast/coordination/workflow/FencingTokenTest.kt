package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.assertions.isSuccess
import sycamoremast.coordination.workflow.WorkerAnswer.Rejected

/** Tests of the fencing tokens of one epoch, which may last for weeks. */
class FencingTokenTest {
    private val driver = SchedulerDriver()

    // Guards against an owner that ends its term for want of tokens (LOST).
    @Test
    fun `a thousand workers may be lost and come back a thousand times each`() {
        expectCatching {
            repeat(LOSSES) {
                driver.scheduler.onWorkerListed(driver.listing("w1"), driver.now)
                driver.step()
                driver.polls.forEach { driver.answer(it, Rejected(RejectReason.OTHER_INCARNATION)) }
            }
        }.isSuccess()
    }

    private companion object {
        const val LOSSES = 1_000_000
    }
}
