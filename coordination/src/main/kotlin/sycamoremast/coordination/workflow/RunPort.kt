/** The interface through which the scheduler sends orders to workers. */
package sycamoremast.coordination.workflow

/**
 * Sends orders to workers.
 *
 * No function blocks. Each calls `done` exactly once, on any thread, even if the worker never
 * answers.
 */
interface RunPort {
    /** Starts a run. */
    fun start(order: StartOrder, done: (WorkerAnswer) -> Unit)

    /** Stops a run. */
    fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit)

    /** Requests a report of the runs on a worker. */
    fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit)

    /** Changes the pace of a run. */
    fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit)
}

/** Sends [order] and passes the answer to [done]. */
fun RunPort.send(order: WorkerOrder, done: (WorkerAnswer) -> Unit) = when (order) {
    is StartOrder -> start(order, done)
    is StopOrder -> stop(order, done)
    is PollOrder -> poll(order, done)
    is PaceOrder -> pace(order, done)
}
