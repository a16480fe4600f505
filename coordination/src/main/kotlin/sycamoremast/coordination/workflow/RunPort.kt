/** The port to the workers that run tasks of workflows. */
package sycamoremast.coordination.workflow

/**
 * Sends orders to workers.
 *
 * No function blocks. Each calls `done` exactly once, on any thread, also when the worker never
 * answers.
 */
interface RunPort {
    /** Starts a run. */
    fun start(order: StartOrder, done: (WorkerAnswer) -> Unit)

    /** Stops a run. */
    fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit)

    /** Asks for a report. */
    fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit)

    /** Changes the pace of a run. */
    fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit)
}

/** Sends [order]; the answer goes to [done]. */
fun RunPort.send(order: WorkerOrder, done: (WorkerAnswer) -> Unit) = when (order) {
    is StartOrder -> start(order, done)
    is StopOrder -> stop(order, done)
    is PollOrder -> poll(order, done)
    is PaceOrder -> pace(order, done)
}
