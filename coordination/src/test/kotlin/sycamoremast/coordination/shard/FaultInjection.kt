/** Faults injected into a schedule when a task or the shard's lease takes a chosen step. */
package sycamoremast.coordination.shard

/** The steps of a task and of a lease. */
internal enum class Step {
    TASK_ACCEPTED,
    TASK_PLACING,
    TASK_RUNNING,
    TASK_EVICTING,
    TASK_FINISHING,
    LEASE_GRANTING,
    LEASE_HELD,
    LEASE_RENEWING,
    LEASE_RELEASING
}

/** A fault that can be injected at a step. */
internal enum class StepFault {
    KILL,
    FREEZE,
    LEASE_LAPSED_IN_PAUSE,
    CUT_BOTH_WAYS,
    CUT_ONE_WAY,
    SLOW,
    RESET,
    STORE_DOWN,
    STORE_SLOW,
    ANSWER_LOST,
    OPERATOR_RACE,
    WRONG_SIZES,
    CANCELLATION_WAVE,
    WORKER_FAILING,
    PLANNED_STOP
}

/** Injects [faults] together when [step] is taken for the [count]th time. */
internal class FaultInjection(val faults: List<StepFault>, val step: Step, private var count: Int) {
    /** Whether the faults have been injected. */
    val hasFired get() = count <= 0

    /** Counts the step [taken] and returns whether the faults are due now. */
    fun fireAt(taken: Step) = taken == step && --count == 0
}

/** A fault that affects calls for a limited time. */
internal enum class CallFault { ANSWERS_LOST, SLOW, RESET }
