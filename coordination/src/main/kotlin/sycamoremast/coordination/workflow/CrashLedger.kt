/**
 * Decides which tasks are to blame for crashes of workers.
 *
 * A run is exposed until its worker has shown it running for a while. If the worker is lost before,
 * the run may have crashed it, and its task is a suspect. As other runs may be exposed on the same
 * worker, and workers also crash for reasons of their own, a suspect starts alone next time. If two
 * workers crash under it alone, while no others are lost, it is given up. If it outlives the crashed
 * runs, it is cleared.
 *
 * The record of a crash doesn't tell whether it was confirmed: the worker may have been out of reach
 * as its owner went. A successor gives up a task for recorded crashes alone only if all workers on
 * which it may run have answered without it, or their leases have lapsed.
 */
package sycamoremast.coordination.workflow

internal class CrashLedger(private val fleet: Fleet, private val recorder: Recorder) {
    private val losses = LossHistory(fleet)
    private val undecided = LinkedHashMap<CrashedRun, OpenTask>()

    /** Tasks with as many recorded crashes as a task may have, until it is known if a run goes on. */
    private val usedUp = LinkedHashSet<OpenTask>()

    /** Processes the crashes of tasks of [workflow] that earlier owners have recorded. */
    fun onRestored(workflow: OpenWorkflow) {
        workflow.steps().flatMap { it.tasks }
            .filterTo(usedUp) { it.crashHistory?.isUsedUp == true }
    }

    /** Processes a call to [worker] that failed after [tookMillis], unsent or unanswered. */
    fun onCallFailed(worker: FleetWorker, tookMillis: Long, nowMillis: Long) {
        if (worker.listing.isDraining) return
        val isAbrupt = tookMillis < ABRUPT_MILLIS
        val loss = currentLoss(worker, failures = 1) ?: loss(worker, nowMillis, isAbrupt) { true }
        // A single call fails now and then.
        if (worker.isSilent) count(loss)
    }

    /** Processes a report that shows [worker] in a later incarnation than the last one. */
    fun onRestarted(worker: FleetWorker, nowMillis: Long) {
        if (!worker.listing.isDraining) confirm(worker, hasEnded = true, nowMillis)
        worker.loss = null
    }

    /** Processes the loss of all runs on [worker], which [hasEnded] or whose lease has lapsed. */
    fun onLost(worker: FleetWorker, hasEnded: Boolean, nowMillis: Long) {
        val isIdle = worker.loss == null && worker.placements.isEmpty()
        if (!isIdle && !worker.listing.isDraining) confirm(worker, hasEnded, nowMillis)
    }

    /** Processes a report of the incarnation of [worker] that reported before. */
    fun onAnswered(worker: FleetWorker) {
        val loss = worker.loss ?: return
        worker.loss = null
        if (!loss.isCounted) losses.remove(loss)
        loss.crashes.forEach { (crash, task) -> takeBack(task, crash.run, "worker is back") }
    }

    /** Processes the rejection of the start of [placement], which has not run. */
    fun onNotStarted(placement: Placement) {
        placement.isExposed = false
        placement.worker.loss?.exposed
            ?.removeIf { it.task === placement.task && it.run == placement.run }
        takeBack(placement.task, placement.run, "not started")
    }

    /** Processes the report of a run of [task] that is in progress, unknown so far, or ended. */
    fun onReported(task: OpenTask, run: Int) = takeBack(task, run, "reported")

    /** Processes the report of [placement] in progress, at [clockMillis] of its worker's clock. */
    fun onRunning(placement: Placement, clockMillis: Long) {
        takeBack(placement.task, placement.run, "reported")
        val shownMillis = placement.recordSeen(clockMillis)
        val history = placement.task.crashHistory
        if (placement.worker.trial === placement && shownMillis >= (history?.trialMillis ?: 0)) {
            placement.worker.trial = null
            fleet.isPlacementDue = true
            log("trial-ended", placement, "shownMillis" to shownMillis)
        }
        // A run that an earlier owner ordered is not exposed, but may outlive the crashed ones, too.
        if (shownMillis >= exposureMillis(history)) {
            placement.isExposed = false
            if (history != null) clear(placement, history)
        }
    }

    private fun clear(placement: Placement, history: CrashHistory) {
        placement.task.crashHistory = null
        recorder.markChanged(placement.task.step.workflow)
        log("task-cleared", placement, "crashedRuns" to history.runs.joinToString(","))
    }

    private fun exposureMillis(history: CrashHistory?): Long =
        maxOf(EXPOSURE_MILLIS, history?.trialMillis ?: 0)

    /** Whether [task] may start now, for all that is known of its crashes. */
    fun mayStart(task: OpenTask, nowMillis: Long): Boolean {
        val history = task.crashHistory ?: return true
        return when {
            history.runs.size == 1 -> true
            history.isUsedUp || history.isGivenUp || history.isUndecided -> false
            nowMillis >= history.heldUntilMillis -> true
            // Single calls that fail now and then would hold it back for long.
            else -> !losses.showsTrouble(nowMillis - QUIET_MILLIS..nowMillis) { it.isCounted }
        }
    }

    /**
     * Decides what is known by [nowMillis]. No run of a waiting task that [isFree] is left which an
     * earlier owner has ordered.
     */
    fun step(nowMillis: Long, isFree: (OpenTask) -> Boolean) {
        losses.expire(nowMillis)
        undecided.entries.removeIf { (crash, task) -> decide(crash, task, nowMillis) }
        usedUp.removeIf { decideRestored(it, isFree) }
    }

    /** Decides on the restored crashes of [task] if possible; returns whether that is done. */
    private fun decideRestored(task: OpenTask, isFree: (OpenTask) -> Boolean): Boolean {
        val history = task.crashHistory
        val workflow = task.step.workflow
        if (history?.isUsedUp != true || !workflow.isOpen || task.isDone) return true
        if (task.placements.isNotEmpty() || !isFree(task)) return false
        history.giveUp()
        fleet.endCandidates += workflow
        fleet.log(
            "crashes-confirmed",
            task.name.toString(),
            "runs" to history.runs.joinToString(","),
            "crashes" to history.runs.size,
            "givenUp" to true
        )
        return true
    }

    /** Decides on [crash] as far as possible; returns whether nothing is left to decide. */
    private fun decide(crash: CrashedRun, task: OpenTask, nowMillis: Long): Boolean {
        val history = task.crashHistory
        if (history == null || !task.step.workflow.isOpen) return true
        if (crash.isInTrouble == null) {
            val untilMillis = crash.lostMillis + COINCIDENCE_MILLIS
            val around = crash.lostMillis - COINCIDENCE_MILLIS..untilMillis
            when {
                losses.showsTrouble(around, crash.workerId) -> {
                    crash.isInTrouble = true
                    recorder.markChanged(task.step.workflow)
                }

                nowMillis > untilMillis -> crash.isInTrouble = false
            }
        }
        if (!crash.isConfirmed || crash.isInTrouble == null) return false
        history.decide(crash)
        history.heldUntilMillis = nowMillis + holdMillis(task, history)
        if (history.isGivenUp) fleet.endCandidates += task.step.workflow
        fleet.isPlacementDue = true
        fleet.log(
            "crash-counted",
            task.name.toString(),
            "run" to crash.run,
            "worker" to crash.workerId,
            "alone" to crash.isAlone,
            "hasEnded" to crash.hasEnded,
            "inTrouble" to crash.isInTrouble,
            "crashes" to history.runs.size,
            "givenUp" to history.isGivenUp
        )
        return true
    }

    private fun holdMillis(task: OpenTask, history: CrashHistory): Long =
        if (task.step.spec.isLongRunning) {
            MAX_LASTING_HOLD_MILLIS
        } else {
            MAX_HOLD_MILLIS * (history.runs.size - 1)
        }

    private fun confirm(worker: FleetWorker, hasEnded: Boolean, nowMillis: Long) {
        // A start that is on its way may reach the new incarnation.
        val loss = currentLoss(worker, failures = 0)
            ?: loss(worker, nowMillis, hasEnded) { it.phase != PlacementPhase.STARTING }
        count(loss)
        for (crash in loss.crashes.keys) {
            crash.isConfirmed = true
            crash.hasEnded = hasEnded || loss.isAbrupt
        }
    }

    /** Returns the present loss of contact, unless [worker] answered and only [failures] followed. */
    private fun currentLoss(worker: FleetWorker, failures: Int): WorkerLoss? {
        val loss = worker.loss ?: return null
        if (worker.contactFailures > failures) return loss
        if (!loss.isCounted) losses.remove(loss)
        return null
    }

    private fun loss(
        worker: FleetWorker,
        nowMillis: Long,
        isAbrupt: Boolean,
        mayHaveRun: (Placement) -> Boolean
    ): WorkerLoss {
        val exposed = worker.placements.values.filter { it.mayCrash && mayHaveRun(it) }
            .mapTo(ArrayList()) { ExposedRun(it, nowMillis - it.startedMillis) }
        val loss = WorkerLoss(
            worker.id,
            nowMillis,
            exposed,
            isAbrupt,
            worker.isSettled(nowMillis)
        )
        // What answered in between may have been sent before the first loss.
        worker.loss?.let { loss.crashes += it.crashes }
        worker.loss = loss
        losses.add(loss)
        return loss
    }

    private fun count(loss: WorkerLoss) {
        if (loss.isCounted) return
        loss.isCounted = true
        for (exposed in loss.exposed) count(loss, exposed)
    }

    private fun count(loss: WorkerLoss, exposed: ExposedRun) {
        val task = exposed.task
        val isKnown = task.crashHistory?.runs?.contains(exposed.run) == true
        if (isKnown || !task.step.workflow.isOpen || task.isDone) return
        val crash = CrashedRun(
            exposed.run,
            loss.workerId,
            loss.atMillis,
            exposed.livedMillis,
            loss.isAlone && exposed.isCredible && (task.crashHistory == null || loss.isOfSuspect)
        )
        val history = task.crashHistory ?: CrashHistory().also { task.crashHistory = it }
        history.add(crash)
        loss.crashes[crash] = task
        undecided[crash] = task
        recorder.markChanged(task.step.workflow)
        fleet.log(
            "task-suspected",
            task.name.toString(),
            "run" to crash.run,
            "worker" to crash.workerId,
            "livedMillis" to crash.livedMillis,
            "exposedRuns" to loss.exposed.size,
            "crashes" to history.runs.size
        )
    }

    private fun takeBack(task: OpenTask, run: Int, reason: String) {
        val history = task.crashHistory ?: return
        if (run !in history.runs) return
        history.remove(run)
        undecided.keys.removeIf { it.run == run && undecided[it] === task }
        if (history.runs.isEmpty()) task.crashHistory = null
        recorder.markChanged(task.step.workflow)
        fleet.isPlacementDue = true
        fleet.log(
            "crash-not-counted",
            task.name.toString(),
            "run" to run,
            "reason" to reason,
            "crashes" to history.runs.size
        )
    }

    private fun log(name: String, placement: Placement, field: Pair<String, Any?>) = fleet.log(
        name,
        placement.task.name.toString(),
        "run" to placement.run,
        "worker" to placement.worker.id,
        field
    )

    private companion object {
        /** How long a run must have been shown running to be exposed no longer. */
        const val EXPOSURE_MILLIS = 1_000L

        /** Losses of contact within this time may have one cause. */
        const val COINCIDENCE_MILLIS = 2_000L

        /** Shorter than the timeout of any call. */
        const val ABRUPT_MILLIS = 500L

        /** For how long no worker may be lost before a repeated suspect starts again. */
        const val QUIET_MILLIS = 4_000L

        /** The longest time for which that is awaited, multiplied by the repetitions. */
        const val MAX_HOLD_MILLIS = 10_000L

        /** The longest time for which that is awaited for a task that is to last. */
        const val MAX_LASTING_HOLD_MILLIS = 2_000L
    }
}
