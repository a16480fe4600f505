/**
 * Finds out from hosts' logs when long-running tasks were without a run, and why.
 *
 * The owner's lines tell when it ordered a run and when it learned of the run's end. That may be
 * later than the end itself: a worker that is gone is first unreachable, and a new owner learns what
 * ended before its term from its first reports. So each loss has a time at which it was noted, and
 * an earliest time.
 */
package sycamoremast.cli

/** The times without a run in [play]. */
internal class OffTimes(private val play: Play) {
    private class Loss(
        val worker: String,
        val cause: String,
        val earliestSeconds: Double,
        val notedSeconds: Double
    )

    private class Task {
        var run = 0
        var worker = ""
        var orderedSeconds = 0.0
        var loss: Loss? = null
        val views = ArrayList<Pair<Double, String>>()
        val holds = ArrayList<Pair<Double, TaskHold>>()

        /** The loss that the last order was to end, in case the order isn't carried out. */
        var lossBeforeOrder: Loss? = null
    }

    private class Silence(val from: Double, var to: Double?)

    private val isLongRunning = LongRunningJobs(play.events)
    private val tasks = LinkedHashMap<String, Task>()
    private val silences = HashMap<String, Silence>()
    private val stopReasons = HashMap<Pair<String, Int>, String>()
    private val lastSignBeforeTerm = HashMap<String, Double>()
    private val termStarts = ArrayList<Double>()
    private val endedJobs = HashSet<String>()
    private val generalViews = ArrayList<Pair<Double, String>>()
    private val closed = ArrayList<Pair<Task, OffTime>>()
    private var lastSignSeconds = Double.NEGATIVE_INFINITY

    /** The times without a run, in order of their ends; the last ones are those that go on. */
    val all: List<OffTime>

    init {
        play.events.forEach(::process)
        tasks.forEach { (name, task) -> close(name, task, play.endSeconds, OffEnd.LOG_ENDS) }
        all = closed.map { (task, off) ->
            off.copy(views = viewsOf(task, off), holds = holdsOf(task, off))
        }
    }

    private fun process(event: HostEvent) {
        when (event.name) {
            "owner-began" -> onOwnerBegan(event)
            "recovery-waits" -> generalViews += event.seconds to "recovery waits"
            "worker-unreachable" -> onUnreachable(event)
            "worker-reachable" -> silences[event.id]?.to = event.seconds
            "worker-lost" -> onWorkerLost(event)
            "workflow-ended" -> onJobEnded(event)
            "job-cancel" -> if ("Right" in event.line.field("outcome")) onJobEnded(event)
            "workflow-known" -> endedJobs -= event.id
            else -> if (isOpen(event.id)) onTaskEvent(event)
        }
        if (event.name in REPORTS) onReported(event)
        if (event.name in SIGNS) lastSignSeconds = event.seconds
    }

    private fun isOpen(id: String) = jobOf(id) !in endedJobs && isLongRunning(id)

    private fun onOwnerBegan(event: HostEvent) {
        lastSignBeforeTerm[event.host] = lastSignSeconds
        termStarts += event.seconds
        generalViews += event.seconds to "new owner"
    }

    private fun onUnreachable(event: HostEvent) {
        val silence = silences[event.id]
        if (silence == null || silence.to != null) {
            silences[event.id] = Silence(event.seconds, null)
        }
    }

    /** A report shows that the worker answers, whoever found it silent before. */
    private fun onReported(event: HostEvent) {
        val silence = silences[event.worker] ?: return
        if (silence.to == null) silence.to = event.seconds
    }

    private fun onTaskEvent(event: HostEvent) {
        val task = tasks.getOrPut(event.id) { Task() }
        when (event.name) {
            "run-ordered" -> onOrdered(event, task)

            "run-adopted" -> onAdopted(event, task)

            "run-ended" -> onEnded(event, task)

            "run-vanished" -> onVanished(event, task)

            "start-rejected" -> {
                task.views += event.seconds to "start rejected: ${event.line.field("reason")}"
                if (event.run == task.run) reopen(event, task, "start rejected")
            }

            "start-unanswered" -> task.views += event.seconds to START_UNANSWERED

            "run-stop" -> onStop(event, task)

            "task-off" -> onOff(event, task)

            "room-reserved" -> task.views += event.seconds to "reserved"

            "task-suspected" -> task.views += event.seconds to "suspect"
        }
    }

    private fun onOrdered(event: HostEvent, task: Task) {
        if (task.loss == null && task.run > 0 && event.run != task.run) {
            val earliest = earliestEnd(event, task)
            lose(task, "not found by new owner", earliest, maxOf(earliest, lastTermStart(event)))
        }
        task.lossBeforeOrder = task.loss
        close(event.id, task, event.seconds, OffEnd.RUNS_AGAIN)
        task.run = event.run
        task.worker = event.worker
        task.orderedSeconds = event.seconds
    }

    /** A run that a new owner finds was never lost. */
    private fun onAdopted(event: HostEvent, task: Task) {
        if (task.loss != null && event.run != task.run) {
            close(event.id, task, event.seconds, OffEnd.RUNS_AGAIN)
        }
        task.loss = null
        task.lossBeforeOrder = null
        task.run = event.run
        task.worker = event.worker
        task.orderedSeconds = event.seconds
    }

    private fun onEnded(event: HostEvent, task: Task) {
        if (event.run < task.run || task.loss != null) return
        val how = event.line.field("how")
        val reason = stopReasons[event.id to event.run]
        val cause = if (how == "STOPPED" && reason != null) "stopped: $reason" else "ended: $how"
        task.run = event.run
        task.worker = event.worker
        val isKnown = event.line.field("ranMillis").toLongOrNull() != null
        val earliest = if (isKnown) event.seconds else earliestEnd(event, task)
        lose(task, cause, earliest, event.seconds)
    }

    private fun onVanished(event: HostEvent, task: Task) {
        if (event.run != task.run || task.loss != null) return
        if (task.views.lastOrNull()?.second == START_UNANSWERED) {
            reopen(event, task, "vanished")
        } else {
            lose(task, "vanished", silenceStart(event.worker, event.seconds), event.seconds)
        }
    }

    private fun onStop(event: HostEvent, task: Task) {
        val reason = event.line.field("reason")
        stopReasons[event.id to event.run] = reason
        // The worker has shown that there is no such run.
        if (reason == START_UNANSWERED && event.run == task.run && task.loss == null) {
            reopen(event, task, START_UNANSWERED)
        }
    }

    private fun onOff(event: HostEvent, task: Task) {
        val hold = TaskHold.of(event.line)
        task.holds += event.seconds to hold
        task.views += event.seconds to hold.part
        if (hold.hasRoomElsewhere) task.views += event.seconds to "room free"
    }

    private fun onWorkerLost(event: HostEvent) {
        val since = silenceStart(event.id, event.seconds)
        val cause = "worker lost: ${event.line.field("reason")}"
        tasks.values.filter { it.worker == event.id && it.loss == null && it.run > 0 }.forEach {
            lose(it, cause, maxOf(since, it.orderedSeconds), event.seconds)
        }
        silences -= event.id
    }

    private fun onJobEnded(event: HostEvent) {
        endedJobs += event.id
        val ended = tasks.filterKeys { jobOf(it) == event.id }
        ended.forEach { (name, task) -> close(name, task, event.seconds, OffEnd.JOB_ENDED) }
        tasks -= ended.keys
    }

    private fun lose(task: Task, cause: String, earliestSeconds: Double, notedSeconds: Double) {
        task.loss = Loss(task.worker, cause, earliestSeconds, notedSeconds)
    }

    /** The last order of [task] wasn't carried out, so it is still without a run. */
    private fun reopen(event: HostEvent, task: Task, cause: String) {
        val before = task.lossBeforeOrder
        if (before == null) {
            lose(task, cause, task.orderedSeconds, event.seconds)
            return
        }
        closed.indexOfLast { it.first === task }.takeIf { it >= 0 }?.let(closed::removeAt)
        task.loss = before
    }

    private fun close(name: String, task: Task, endSeconds: Double, end: OffEnd) {
        val loss = task.loss ?: return
        closed += task to OffTime(
            name,
            loss.worker,
            loss.cause,
            loss.earliestSeconds,
            loss.notedSeconds,
            endSeconds,
            end,
            views = emptyList()
        )
        task.loss = null
    }

    /** Returns when the run of [task] may have ended that the owner of [event] never knew. */
    private fun earliestEnd(event: HostEvent, task: Task): Double {
        val sign = lastSignBeforeTerm[event.host] ?: event.seconds
        val silence = silenceStart(task.worker, event.seconds)
        return maxOf(task.orderedSeconds, minOf(sign, silence))
    }

    private fun lastTermStart(event: HostEvent) =
        termStarts.lastOrNull { it <= event.seconds } ?: event.seconds

    /** Returns since when [worker] hadn't answered at [seconds], or [seconds] if it had. */
    private fun silenceStart(worker: String, seconds: Double): Double {
        val silence = silences[worker] ?: return seconds
        val to = silence.to ?: return silence.from
        if (seconds - to < SAME_REPORT_SECONDS) return silence.from
        silences -= worker
        return seconds
    }

    /** Returns the views of [task] in [off], each with its number of lines if there are several. */
    private fun viewsOf(task: Task, off: OffTime): List<String> =
        (generalViews + task.views).filter { it.first in off.earliestSeconds..off.endSeconds }
            .groupingBy { it.second }.eachCount()
            .map { (view, count) -> if (count == 1) view else "$view x$count" }

    private fun holdsOf(task: Task, off: OffTime): List<HeldTime> {
        val holds = task.holds.filter {
            it.first >= off.earliestSeconds && it.first < off.endSeconds
        }
        return HeldTime.allOf(holds, off.endSeconds)
    }

    private companion object {
        /** The name of a view, and the reason of a stop, of a start that got no answer. */
        const val START_UNANSWERED = "start unanswered"

        /** Lines that only an owner writes. */
        val SIGNS = setOf("run-ordered", "run-ended", "run-stop", "run-pace", "run-moved")

        /** Lines about what a worker reports. */
        val REPORTS = setOf("run-ended", "run-adopted", "run-vanished")

        /** Lines about one report of a worker are written within this time. */
        const val SAME_REPORT_SECONDS = 0.1
    }
}
