/**
 * Moves serving tasks so that their workers tolerate more neighbours.
 *
 * A neighbour has to suit every serving task on its worker, so the more images a worker serves, the
 * fewer neighbours may start there. Workers come to serve several images as lost tasks restart
 * wherever there is room. Two tasks change places where a worker has no room for another one. A
 * move costs its task a stop and a start.
 */
package sycamoremast.coordination.workflow

internal class Consolidation(
    private val fleet: Fleet,
    private val placer: Placer,
    private val moves: TaskMoves,
    private val model: TailModel
) {
    /** A move of [task] to [destination], where [replaced] makes room by moving the other way. */
    private class Exchange(
        val task: Placement,
        val destination: FleetWorker,
        val replaced: Placement?,
        val gain: Double
    )

    private var nextStepMillis = Long.MIN_VALUE
    private var cursor = 0

    /** Begins the most useful exchange for each of the next workers that serve several images. */
    fun step(nowMillis: Long) {
        if (nowMillis < nextStepMillis || !model.hasNeighbours) return
        nextStepMillis = nowMillis + INTERVAL_MILLIS
        for (source in nextSources(nowMillis)) {
            if (!moves.mayBegin()) return
            bestOrNull(source, nowMillis)?.let { begin(it, nowMillis) }
        }
    }

    /** Returns the next workers that serve several images, from where the last call ended. */
    private fun nextSources(nowMillis: Long): List<FleetWorker> {
        val workers = fleet.workerList
        val sources = ArrayList<FleetWorker>()
        repeat(workers.size) {
            if (sources.size == MAX_EXAMINED_WORKERS) return sources
            cursor = (cursor + 1) % workers.size
            val worker = workers[cursor]
            val isMixed = imagesOf(worker).toSet().size > 1
            if (isMixed && fleet.acceptsStarts(worker, nowMillis)) sources += worker
        }
        return sources
    }

    private fun bestOrNull(source: FleetWorker, nowMillis: Long): Exchange? {
        val main = imagesOf(source).groupingBy { it }.eachCount().maxBy { it.value }.key
        val others = source.colocation.serving
            .filter { it.image != main && moves.isMovable(it, nowMillis) }
        return others.asSequence()
            .flatMap { exchanges(it, main, nowMillis) }
            .filter { it.gain >= MIN_GAIN * source.sharedMilliCpus }
            .maxByOrNull { it.gain }
    }

    /** Returns the moves of [task], also in exchange for a task of the image [main]. */
    private fun exchanges(task: Placement, main: String, nowMillis: Long) = sequence {
        for (destination in fleet.workerList) {
            if (destination === task.worker || destination.servingCount == 0) continue
            if (placer.canMove(task.task, destination, null, nowMillis)) {
                yield(exchange(task, destination, null))
                continue
            }
            for (replaced in destination.colocation.serving) {
                if (replaced.image != main || !moves.isMovable(replaced, nowMillis)) continue
                val fits = placer.canMove(task.task, destination, replaced, nowMillis) &&
                    placer.canMove(replaced.task, task.worker, task, nowMillis)
                if (fits) yield(exchange(task, destination, replaced))
            }
        }
    }

    private fun exchange(
        task: Placement,
        destination: FleetWorker,
        replaced: Placement?
    ): Exchange {
        val here = imagesOf(task.worker)
        val there = imagesOf(destination)
        val came = replaced?.image
        val hereAfter = here - task.image + listOfNotNull(came)
        val thereAfter = (if (came == null) there else there - came) + task.image
        val gain = value(task.worker, hereAfter) - value(task.worker, here) +
            value(destination, thereAfter) - value(destination, there)
        return Exchange(task, destination, replaced, gain)
    }

    /** Returns the CPU of [worker] that neighbours of the known images could use beside [images]. */
    private fun value(worker: FleetWorker, images: List<String>): Double {
        if (images.isEmpty()) return worker.sharedMilliCpus.toDouble()
        val counts = images.groupingBy { it }.eachCount()
        val largest = counts.values.max().toDouble() / images.size
        return worker.sharedMilliCpus *
            (model.tolerance(counts.keys) + largest * CONCENTRATION_WEIGHT)
    }

    /** Returns the images of the serving tasks on [worker] once all moves have ended. */
    private fun imagesOf(worker: FleetWorker): List<String> =
        worker.colocation.serving.filter { it.task.destination == null }.map { it.image } +
            worker.expectedTasks.filter { it.step.spec.isServing }.map { it.step.spec.image }

    private val Placement.image get() = task.step.spec.image

    private fun begin(exchange: Exchange, nowMillis: Long) {
        moves.move(exchange.task, exchange.destination, REASON, nowMillis)
        exchange.replaced?.let { moves.move(it, exchange.task.worker, REASON, nowMillis) }
    }

    private companion object {
        const val REASON = "consolidated"
        const val INTERVAL_MILLIS = 200L

        /** Bounds the cost of a step, which compares all serving tasks for each of these. */
        const val MAX_EXAMINED_WORKERS = 2

        /** The least gain of an exchange, as a share of a worker. */
        const val MIN_GAIN = 0.05

        /** Weight of the share of a worker's main image, which makes later exchanges possible. */
        const val CONCENTRATION_WEIGHT = 0.1
    }
}
