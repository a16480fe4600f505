package sycamoremast.coordination.workflow

/**
 * Workers that carry out all orders of the scheduler of [driver] at once.
 *
 * Serving tasks report [tailMillis]. Workers in [silent] answer nothing.
 */
internal class ObedientWorkers(
    private val driver: SchedulerDriver,
    private val tailMillis: Double
) {
    val running = ArrayList<StartOrder>()
    val stopped = ArrayList<StopOrder>()
    val silent = HashSet<String>()

    /** The percentage of full pace at which a task works, unless it is [Placement.FULL_PACE]. */
    val percents = HashMap<TaskName, Int>()
    private val lastEnds = HashMap<WorkerRef, Long>()

    /** Steps for [millis]. */
    fun run(millis: Int) = repeat(millis / STEP_MILLIS) {
        driver.step(STEP_MILLIS.toLong())
        driver.starts.forEach {
            running += it
            driver.confirmStart(it)
        }
        val stops = driver.stops
        stopped += stops
        stops.forEach {
            driver.scheduler
                .onStopAnswer(it, WorkerAnswer.Done(driver.now, driver.now), driver.now)
        }
        driver.polls.filter { it.worker.id !in silent }.forEach { report(it, stops) }
    }

    private fun report(poll: PollOrder, stops: List<StopOrder>) {
        val ends = stops.filter { it.worker == poll.worker }.map { stop ->
            running.removeAll { it.task == stop.task }
            val number = lastEnds.merge(stop.worker, 1, Long::plus) ?: 1
            EndedRow(number, stop.task, stop.run, RunEnd.STOPPED, "")
        }
        val rows = running.filter { it.worker == poll.worker }.map {
            val percent = percents[it.task] ?: Placement.FULL_PACE
            RunningRow(it.task, it.run, "", percent, tailMillis)
        }
        driver.report(poll, running = rows, ended = ends)
    }

    /** Submits a workflow [id] of [step] and steps until its tasks run. */
    fun submit(id: String, step: WorkflowStep) {
        driver.submit(driver.workflow(id, step))
        run(SETTLE_MILLIS)
    }

    /** Returns the worker on which the only task of [workflow] runs, or null if it waits. */
    fun workerOf(workflow: String): WorkerRef? =
        running.singleOrNull { it.task.workflow == workflow }?.worker

    private companion object {
        const val STEP_MILLIS = 50
        const val SETTLE_MILLIS = 1_000
    }
}
