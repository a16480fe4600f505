/**
 * Tells bad workers from bad jobs by comparing where tasks fail.
 *
 * A worker is quarantined if it has failed several tasks in a row, while the same jobs seldom fail
 * on its peers. It returns on trial, with one task at a time, and a failure then doubles the next
 * quarantine. Where the peers have shown too little yet, the worker only pauses, so that the tasks
 * are tried elsewhere. A job is to blame if a task has failed on several workers in good standing.
 */
package sycamoremast.coordination.placement

import sycamoremast.coordination.record.JobKey

/** What follows from a task's failure. */
sealed interface FailureVerdict {
    /** The task is tried again, preferably on another worker, and this one pauses. */
    data class RetryAfterPause(val untilMillis: Long) : FailureVerdict

    /** The worker gets no task until then, because of [evidence]. */
    data class Quarantine(val untilMillis: Long, val evidence: String) : FailureVerdict

    /** The job has failed on enough workers to be stopped. */
    data class StopJob(val reason: String) : FailureVerdict
}

/** Judges failures; a task fails its job after [attemptsPerTask] workers have failed it. */
class FailureJudge(private val attemptsPerTask: Int) {
    private class Standing {
        val recentJobs = ArrayDeque<JobKey>()
        var quarantinedUntilMillis = Long.MIN_VALUE
        var nextQuarantineMillis = FIRST_QUARANTINE_MILLIS
        var isOnTrial = false
    }

    private class Tally {
        val starts = HashMap<String, Int>()
        val failures = HashMap<String, Int>()
        val failedOn = HashMap<Int, MutableList<String>>()
    }

    private val standings = HashMap<String, Standing>()
    private val tallies = HashMap<JobKey, Tally>()

    /** Notes that a task of [job] was started on [worker]. */
    fun started(job: JobKey, worker: String) {
        tally(job).starts.merge(worker, 1, Int::plus)
    }

    /** Notes that a task finished on [worker], which clears it. */
    fun succeeded(worker: String) {
        standings.remove(worker)
    }

    /** Returns whether the task [index] of [job] has failed on [worker] before. */
    fun hasFailedOn(job: JobKey, index: Int, worker: String) =
        tallies[job]?.failedOn?.get(index)?.contains(worker) ?: false

    /** Returns whether [worker] may take no task now; [isIdle] says that it runs none. */
    fun isBarred(worker: String, isIdle: Boolean, nowMillis: Long): Boolean {
        val standing = standings[worker] ?: return false
        return nowMillis < standing.quarantinedUntilMillis || (standing.isOnTrial && !isIdle)
    }

    /** Returns the workers that are quarantined at [nowMillis]. */
    fun quarantined(nowMillis: Long): Set<String> =
        standings.filterValues { nowMillis < it.quarantinedUntilMillis }.keys

    /** Returns what follows from the failure of the task [index] of [job] on [worker]. */
    fun failed(job: JobKey, index: Int, worker: String, nowMillis: Long): FailureVerdict {
        val tally = tally(job)
        tally.failures.merge(worker, 1, Int::plus)
        tally.failedOn.getOrPut(index) { ArrayList() } += worker
        val standing = standings.getOrPut(worker) { Standing() }
        standing.recentJobs.addLast(job)
        if (standing.recentJobs.size > STREAK) standing.recentJobs.removeFirst()
        return judgeWorker(worker, standing, nowMillis)
            ?: judgeJob(tally, index, nowMillis)
            ?: FailureVerdict.RetryAfterPause(nowMillis + pauseMillis(standing))
    }

    private fun judgeWorker(worker: String, standing: Standing, now: Long): FailureVerdict? {
        if (!standing.isOnTrial && standing.recentJobs.size < STREAK) return null
        val jobs = standing.recentJobs.distinct().map(::tally)
        val starts = jobs.sumOf { it.starts.filterKeys { peer -> peer != worker }.values.sum() }
        val failures = jobs.sumOf { it.failures.filterKeys { peer -> peer != worker }.values.sum() }
        val isPeersFault = starts < LEAST_PEER_STARTS || failures * PEER_FAILURE_PART > starts
        if (isPeersFault) return null
        val until = now + standing.nextQuarantineMillis
        standing.quarantinedUntilMillis = until
        standing.nextQuarantineMillis =
            (standing.nextQuarantineMillis * 2).coerceAtMost(LONGEST_QUARANTINE_MILLIS)
        standing.isOnTrial = true
        val streak = standing.recentJobs.size
        return FailureVerdict.Quarantine(
            until,
            "$worker failed $streak tasks in a row, its peers $failures of $starts"
        )
    }

    private fun judgeJob(tally: Tally, index: Int, nowMillis: Long): FailureVerdict? {
        val quarantined = quarantined(nowMillis)
        val counted = tally.failedOn[index].orEmpty().filter { it !in quarantined }
        val onWorkers = counted.distinct().size
        val isEverywhere = counted.size >= attemptsPerTask && onWorkers >= LEAST_WORKERS
        if (!isEverywhere && counted.size < attemptsPerTask * ATTEMPTS_ON_FEW_WORKERS) return null
        return FailureVerdict.StopJob(
            "task $index failed ${counted.size} times on $onWorkers workers"
        )
    }

    private fun pauseMillis(standing: Standing) =
        FIRST_PAUSE_MILLIS shl standing.recentJobs.size.coerceAtMost(STREAK)

    private fun tally(job: JobKey) = tallies.getOrPut(job) { Tally() }

    private companion object {
        /** The failures in a row that make a worker suspect. */
        const val STREAK = 4

        /** The starts on other workers without which they are no evidence. */
        const val LEAST_PEER_STARTS = 3

        /** Peers that fail more than one in this many starts don't put the blame on a worker. */
        const val PEER_FAILURE_PART = 4
        const val LEAST_WORKERS = 2
        const val ATTEMPTS_ON_FEW_WORKERS = 3
        const val FIRST_PAUSE_MILLIS = 100L
        const val FIRST_QUARANTINE_MILLIS = 30_000L
        const val LONGEST_QUARANTINE_MILLIS = 600_000L
    }
}
