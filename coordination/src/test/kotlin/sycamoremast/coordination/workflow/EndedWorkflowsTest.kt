package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class EndedWorkflowsTest {
    private val ended = EndedWorkflows(
        SchedulerSettings(statusMillis = 900, clockJumpMillis = 100, recordDelayMillis = 50)
    )

    private fun add(id: String, endedMillis: Long) {
        ended.add(id, WorkflowPhase.COMPLETED, isCancelled = false)
        ended.step(endedMillis)
    }

    private fun takeDue(nowMillis: Long, entries: Int = 25) =
        ended.takeDue(nowMillis, entries).map { it.id }

    // Guards against a state that is gone before callers may do without it (LOST).
    @Test
    fun `workflows are due in the order of their ends and not before their time`() {
        add("late", 200)
        add("early", 100)
        expectThat(takeDue(1_099)).isEmpty()
        expectThat(takeDue(1_100)).containsExactly("early")
        expectThat(ended.isAnyDue(1_199)).isFalse()
        expectThat(takeDue(1_200)).containsExactly("late")
        expectThat(takeDue(9_000)).isEmpty()
        expectThat("early" in ended).isTrue()
        ended.remove("early")
        expectThat(ended.phaseOrNull("early")).isNull()
    }

    // Guards against an early deletion, and one that never comes, as hosts' clocks differ and records
    // are written late (LOST).
    @Test
    fun `a recovered workflow is kept no longer than one that ends now`() {
        val unixMillis = 1_800_000_000_000
        fun leftMillis(agoMillis: Long) =
            ended.dueMillis(WorkflowPhase.COMPLETED, unixMillis - agoMillis, 5_000, unixMillis) -
                5_000
        expectThat(leftMillis(400)).isEqualTo(650)
        expectThat(leftMillis(20)).isEqualTo(1_000)
        expectThat(leftMillis(-60_000)).isEqualTo(1_000)
        expectThat(leftMillis(86_400_000)).isEqualTo(0)
        expectThat(ended.dueMillis(WorkflowPhase.COMPLETED, 0, 5_000, unixMillis))
            .isEqualTo(6_000)
    }

    // Guards against failures that operators never get to see.
    @Test
    fun `a failed workflow is kept for operators as well`() {
        ended.add("failed", WorkflowPhase.FAILED, isCancelled = false)
        ended.step(0)
        expectThat(takeDue(3_600_099)).isEmpty()
        expectThat(takeDue(3_600_100)).containsExactly("failed")
        val unixMillis = 1_800_000_000_000
        expectThat(
            ended.dueMillis(WorkflowPhase.FAILED, unixMillis - 10_000_000, 5_000, unixMillis)
        ).isEqualTo(5_000)
    }

    // Guards against an owner that records nothing any more, as the store refuses its batch for good.
    @Test
    fun `takes no more workflows than their records have room in a transaction`() {
        for (i in 1..20) add("w$i", i.toLong())
        ended.onCancelled("w1")
        expectThat(takeDue(9_000, entries = 2)).isEmpty()
        expectThat(takeDue(9_000, entries = 6)).containsExactly("w1", "w2")
        expectThat(takeDue(9_000)).hasSize(10)
    }

    // Guards against the loss of a new workflow that has the ID of a forgotten one (LOST).
    @Test
    fun `takes no workflow twice nor one that is forgotten already`() {
        add("w1", 100)
        add("w1", 200)
        add("w2", 300)
        ended.remove("w2")
        expectThat(takeDue(9_000)).containsExactly("w1")
        expectThat(takeDue(9_000)).isEmpty()
    }

    @Test
    fun `logs how many were deleted now and then`() {
        add("w1", 100)
        add("w2", 300)
        expectThat(ended.logFieldsOrNull(0)).isNull()
        ended.onDeleted(ended.takeDue(2_000, 25))
        expectThat(ended.logFieldsOrNull(2_000)?.joinToString())
            .isEqualTo("(count, 2), (ageMillis, 1900), (kept, 2)")
        add("w3", 500)
        ended.onDeleted(ended.takeDue(3_000, 25))
        expectThat(ended.logFieldsOrNull(3_000)).isNull()
    }
}
