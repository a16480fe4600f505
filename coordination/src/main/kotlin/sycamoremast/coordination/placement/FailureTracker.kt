/**
 * Attributes task failures to faulty workers or faulty jobs by comparing where tasks fail.
 *
 * A worker is quarantined after several failures in a row if the same jobs seldom fail on its
 * peers. After the quarantine it is on probation: it runs one task at a time, and a failure starts
 * another quarantine of twice the length. While there is too little evidence from peers, the worker
 * is only paused, so that its tasks are retried elsewhere. A job is stopped if one of its tasks has
 * failed on several workers that are not quarantined.
 */
package sycamoremast.coordination.placement

import sycamoremast.coordination.record.JobKey

/** The action that follows a task's failure. */
sealed interface FailureAction {
    /** The task is retried, preferably on another worker; this worker is paused. */
    data class RetryAfterPause(val untilMillis: Long) : FailureAction

    /** The worker gets no tasks until [untilMillis], for the reason given as [evidence]. */
    data class Quarantine(val untilMillis: Long, val evidence: String) : FailureAction

    /** The job is stopped, as one of its tasks has failed on enough workers. */
    data class StopJob(val reason: String) : FailureAction
}

/** Tracks task failures; a job fails after [attemptsPerTask] failures of one of its tasks. */
class FailureTracker(private val attemptsPerTask: Int) {
    private class WorkerHistory {
        val recentFailedJobs = ArrayDeque<JobKey>()
        var quarantinedUntilMillis = Long.MIN_VALUE
        var nextQuarantineMillis = FIRST_QUARANTINE_MILLIS
        var isOnProbation = false
    }

    private class JobHistory {
        val starts = HashMap<String, Int>()
        val failures = HashMap<String, Int>()
        val failedOn = HashMap<Int, MutableList<String>>()
    }

    private val workerHistories = HashMap<String, WorkerHistory>()
    private val jobHistories = HashMap<JobKey, JobHistory>()

    /** Records that a task of [job] started on [worker]. */
    fun recordStart(job: JobKey, worker: String) {
        jobHistory(job).starts.merge(worker, 1, Int::plus)
    }

    /** Records that a task succeeded on [worker], which clears the failures of the worker. */
    fun recordSuccess(worker: String) {
        workerHistories.remove(worker)
    }

    /** Returns whether the task [index] of [job] has failed on [worker]. */
    fun hasFailedOn(job: JobKey, index: Int, worker: String) =
        jobHistories[job]?.failedOn?.get(index)?.contains(worker) ?: false

    /**
     * Returns whether [worker] must get no task now.
     *
     * A worker on probation gets a task only if it [isIdle], which means that it runs none.
     */
    fun isBarred(worker: String, isIdle: Boolean, nowMillis: Long): Boolean {
        val history = workerHistories[worker] ?: return false
        return nowMillis < history.quarantinedUntilMillis || (history.isOnProbation && !isIdle)
    }

    /** Returns the workers that are quarantined at [nowMillis]. */
    fun quarantined(nowMillis: Long): Set<String> =
        workerHistories.filterValues { nowMillis < it.quarantinedUntilMillis }.keys

    /**
     * Records that the task [index] of [job] failed on [worker].
     *
     * Returns the action to take.
     */
    fun recordFailure(job: JobKey, index: Int, worker: String, nowMillis: Long): FailureAction {
        val jobHistory = jobHistory(job)
        jobHistory.failures.merge(worker, 1, Int::plus)
        jobHistory.failedOn.getOrPut(index) { ArrayList() } += worker
        val history = workerHistories.getOrPut(worker) { WorkerHistory() }
        history.recentFailedJobs.addLast(job)
        if (history.recentFailedJobs.size > STREAK_LENGTH) history.recentFailedJobs.removeFirst()
        return quarantineIfFaulty(worker, history, nowMillis)
            ?: stopIfFaulty(jobHistory, index, nowMillis)
            ?: FailureAction.RetryAfterPause(nowMillis + pauseMillis(history))
    }

    /** Quarantines [worker] and returns the action, or null if the evidence is insufficient. */
    private fun quarantineIfFaulty(
        worker: String,
        history: WorkerHistory,
        nowMillis: Long
    ): FailureAction? {
        if (!history.isOnProbation && history.recentFailedJobs.size < STREAK_LENGTH) return null
        val jobs = history.recentFailedJobs.distinct().map(::jobHistory)
        val starts = jobs.sumOf { it.starts.filterKeys { peer -> peer != worker }.values.sum() }
        val failures = jobs.sumOf { it.failures.filterKeys { peer -> peer != worker }.values.sum() }
        val isInconclusive = starts < MIN_PEER_STARTS || failures * PEER_FAILURE_RATIO > starts
        if (isInconclusive) return null
        val untilMillis = nowMillis + history.nextQuarantineMillis
        history.quarantinedUntilMillis = untilMillis
        history.nextQuarantineMillis =
            (history.nextQuarantineMillis * 2).coerceAtMost(MAX_QUARANTINE_MILLIS)
        history.isOnProbation = true
        val streak = history.recentFailedJobs.size
        return FailureAction.Quarantine(
            untilMillis,
            "$worker failed $streak tasks in a row, its peers $failures of $starts"
        )
    }

    /** Returns the action that stops the job, or null if the task may be retried. */
    private fun stopIfFaulty(jobHistory: JobHistory, index: Int, nowMillis: Long): FailureAction? {
        val quarantined = quarantined(nowMillis)
        val counted = jobHistory.failedOn[index].orEmpty().filter { it !in quarantined }
        val workerCount = counted.distinct().size
        val isFailingWidely =
            counted.size >= attemptsPerTask && workerCount >= MIN_FAILING_WORKERS
        if (!isFailingWidely && counted.size < attemptsPerTask * FEW_WORKERS_FACTOR) return null
        return FailureAction.StopJob(
            "task $index failed ${counted.size} times on $workerCount workers"
        )
    }

    private fun pauseMillis(history: WorkerHistory) =
        FIRST_PAUSE_MILLIS shl history.recentFailedJobs.size.coerceAtMost(STREAK_LENGTH)

    private fun jobHistory(job: JobKey) = jobHistories.getOrPut(job) { JobHistory() }

    private companion object {
        /** The consecutive failures after which a worker may be quarantined. */
        const val STREAK_LENGTH = 4

        /** The starts on other workers that are needed as evidence against a worker. */
        const val MIN_PEER_STARTS = 3

        /** If more than one in this many starts fails on peers, the worker is not quarantined. */
        const val PEER_FAILURE_RATIO = 4

        /** The workers on which a task must have failed before its job is stopped. */
        const val MIN_FAILING_WORKERS = 2

        /** A job is stopped after this many times the attempts, on however few workers. */
        const val FEW_WORKERS_FACTOR = 3
        const val FIRST_PAUSE_MILLIS = 100L
        const val FIRST_QUARANTINE_MILLIS = 30_000L
        const val MAX_QUARANTINE_MILLIS = 600_000L
    }
}
