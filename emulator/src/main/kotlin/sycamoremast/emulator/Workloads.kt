/** The kinds of workflows that arrive on the users' deployments, by the figures of their sheets. */
package sycamoremast.emulator

internal object Workloads {
    /** The work of the BKTIB deployment. */
    val inspections = listOf(
        urgent("field-check", 2.1, 850.0, 3_100.0, 6_200)
            .copy(maxAttempts = 2, failureRate = 0.05),
        batch("cert-review", 5.0, 1_400.0, 3_500.0, 6_400)
            .copy(failureRate = 0.05),
        serving("slope-watch", 0.15, 6_400.0, 13_000)
    )

    /** The work of the Regie deployment. */
    val fishCounts = listOf(
        urgent("daily-tally", 2.4, 680.0, 4_600.0, 9_200)
            .copy(maxAttempts = 2, failureRate = 0.05),
        batch("species-review", 3.0, 1_400.0, 7_000.0, 13_000)
            .copy(failureRate = 0.02),
        serving("watch-stream", 0.1, 13_000.0, 26_000)
    )

    /** The work of the further deployment, whose batch tasks run for longer than two seconds. */
    val repairs = listOf(
        urgent("diagnosis", 2.5, 850.0, 4_600.0, 9_200)
            .copy(maxAttempts = 4, failureRate = 0.02),
        batch("reconciliation", 2.7, 2_300.0, 7_000.0, 13_000)
            .copy(maxAttempts = 2, failureRate = 0.05),
        serving("pickup-watch", 0.127, 13_000.0, 26_000)
    )

    /** The work of the large BKTIB deployment: wider steps, and more of them. */
    val manyInspections = listOf(
        urgent("field-check", 6.5, 680.0, 11_000.0, 22_000)
            .copy(width = 7.7, failureRate = 0.03, maxWidth = 46),
        batch("cert-review", 14.8, 1_400.0, 3_500.0, 6_400)
            .copy(width = 27.0, maxAttempts = 2, failureRate = 0.005, maxWidth = 110),
        serving("slope-watch", 0.4, 6_400.0, 13_000)
            .copy(width = 24.0, maxWidth = 48)
    )

    /** Returns a kind of short work that its callers wait for. */
    private fun urgent(
        queue: String,
        ratePerSecond: Double,
        workMillis: Double,
        milliCpus: Double,
        memoryMib: Long
    ) = WorkflowKind(
        queue,
        priority = 0,
        ratePerSecond,
        steps = 1.6,
        width = 6.0,
        workMillis,
        spread = 0.5,
        milliCpus,
        memoryMib,
        stretch = 1.5,
        targetLatencyMillis = 250
    )

    /** Returns a kind of batch work on idle CPU. */
    private fun batch(
        queue: String,
        ratePerSecond: Double,
        workMillis: Double,
        milliCpus: Double,
        memoryMib: Long
    ) = WorkflowKind(
        queue,
        priority = 2,
        ratePerSecond,
        steps = 2.0,
        width = 8.0,
        workMillis,
        spread = 0.5,
        milliCpus,
        memoryMib,
        stretch = 2.0,
        targetLatencyMillis = 1_000,
        usesIdleCpu = true
    )

    /** Returns a kind of workflow whose tasks serve requests until it is cancelled. */
    private fun serving(queue: String, ratePerSecond: Double, milliCpus: Double, memoryMib: Long) =
        WorkflowKind(
            queue,
            priority = 0,
            ratePerSecond,
            steps = 1.0,
            width = 6.0,
            workMillis = 0.0,
            spread = 0.0,
            milliCpus,
            memoryMib,
            stretch = 2.2,
            targetLatencyMillis = 2_500,
            isServing = true
        )
}
