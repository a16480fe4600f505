/**
 * Measures in virtual time for how long a task is off after a loss of workers, hosts or the store.
 *
 * A job of one kind of work runs undisturbed until a loss. Nothing else happens but the end of that
 * loss, which is the last disruption.
 */
package sycamoremast.coordination.workflow

import kotlin.random.Random
import sycamoremast.coordination.Resources

/** The work whose restart is measured, by its steps. */
internal enum class CensusWork(val steps: List<WorkflowStep>) {
    LONG_RUNNING(listOf(CensusSteps.longRunning)),
    SHORT(listOf(CensusSteps.short)),
    SECOND_STEP(listOf(CensusSteps.brief, CensusSteps.short.copy(after = listOf(0)))),
    GANG(listOf(CensusSteps.gang)),

    /** A short task whose worker has been draining for a second. */
    DRAINING(listOf(CensusSteps.short)),

    /** A long-running task whose worker has been draining for a second. */
    LONG_RUNNING_DRAINING(listOf(CensusSteps.longRunning));

    val isDraining: Boolean get() = this == DRAINING || this == LONG_RUNNING_DRAINING
}

/** What is lost at once, and [lastMillis] after that for the last time. */
internal enum class CensusLoss(val lastMillis: Long) {
    /** The worker that runs the task crashes. */
    WORKER(0),

    /** The owner is killed. */
    OWNER(0),
    WORKER_AND_OWNER(0),

    /** The owner is stopped as planned, and the worker crashes. */
    WORKER_AND_STOPPED_OWNER(0),

    /** The worker crashes with the owner, and two more owners are killed, one each four seconds. */
    WORKER_AND_OWNER_SERIES(8_000),

    /** The store is away for all, and the worker crashes after half that time. */
    STORE_AND_WORKER(10_000),

    /** Like [STORE_AND_WORKER], and the owner is killed with the worker. */
    STORE_AND_WORKER_AND_OWNER(10_000),

    /** Like [STORE_AND_WORKER], and a standby is killed a second after the store is lost. */
    STORE_AND_WORKER_AND_STANDBY(10_000),

    /** Like [STORE_AND_WORKER], while all hosts are stopped as planned and started again in turn. */
    STORE_AND_WORKER_AND_STOPS(10_000),

    /** A third of the hosts, the owner among them, loses the store and two thirds of the workers. */
    ZONE_OF_OWNER(10_000),

    /** Like [ZONE_OF_OWNER], and the other hosts lose the task's worker and others. */
    ZONE_OF_OWNER_AND_WORKER(10_000),

    /** All hosts are killed at once and start again, and the worker crashes. */
    ALL_HOSTS_AND_WORKER(CensusHosts.RESTART_MILLIS),

    /** Like [ALL_HOSTS_AND_WORKER], but the owner's host doesn't start again. */
    ALL_HOSTS_AND_WORKER_OWNER_GONE(CensusHosts.RESTART_MILLIS),

    /** All hosts are gone at once, others come that were never registered, and the worker crashes. */
    ALL_HOSTS_REPLACED_AND_WORKER(CensusHosts.RESTART_MILLIS),

    /** Like [ALL_HOSTS_AND_WORKER], and half of the workers crash and come back under their IDs. */
    ALL_HOSTS_AND_WORKER_HALF_REBORN(CensusHosts.RESTART_MILLIS),

    /** Like [ALL_HOSTS_AND_WORKER_OWNER_GONE], and over half of the workers crash. */
    ALL_HOSTS_AND_MOST_WORKERS_OWNER_GONE(CensusHosts.RESTART_MILLIS),

    /** Like [STORE_AND_WORKER], all hosts are killed with the worker, and the owner's is gone. */
    STORE_AND_WORKER_AND_ALL_HOSTS(10_000),

    /**
     * The owner's and a standby's host are gone, others come that were never registered, and the
     * worker crashes. Standbys are left to succeed at once.
     */
    OWNER_AND_STANDBY_REPLACED_AND_WORKER(0),

    /** The worker crashes and comes back under its ID. */
    REBORN_WORKER(CensusSteps.REBIRTH_MILLIS),

    /** Like [REBORN_WORKER], and the owner is killed. */
    REBORN_WORKER_AND_OWNER(CensusSteps.REBIRTH_MILLIS)
}

private object CensusSteps {
    const val REBIRTH_MILLIS = 1_000L
    private val demand = Resources(1_000L, 1_000)
    val short = WorkflowStep(1, demand)
    val brief = WorkflowStep(1, demand)
    val longRunning = WorkflowStep(1, demand, isLongRunning = true)
    val gang = WorkflowStep(4, demand, isGang = true, maxPerWorker = 1)
}

/** How long after the loss, and after the last disruption, the job ran again for good; 0 if always. */
internal data class RestartTimes(val afterLossMillis: Long, val afterLastMillis: Long)

internal class RestartCensus(
    seed: Long,
    private val work: CensusWork,
    private val loss: CensusLoss
) : HostWorld {
    private val random = Random(seed)
    override val time = VirtualTime()
    override val store = ModelStore(time, pausesLeases = random.nextBoolean())
    override val isStoreLossy = false
    override val acknowledgesWithStore = false
    private val entries = LinkedHashMap<String, WorkerListing>()
    override val listings: Map<String, WorkerListing> get() = entries
    private val workers = LinkedHashMap<WorkerRef, ModelWorker>()
    private val hosts = CensusHosts(this)
    private val monitor = RunMonitor { workers.values }

    /** Until when hosts are cut off from workers or the store. */
    private val cutUntil = HashMap<Pair<String, String>, Long>()
    private val lossMillis = LOSS_MILLIS + random.nextLong(LOSS_SPREAD_MILLIS)
    private val lastMillis = lossMillis + loss.lastMillis

    /** When the job was last seen with a task off. */
    private var lastOffMillis = 0L
    private var isComplete = false
    val violations: List<Violation> get() = monitor.violations
    val log = ArrayList<String>()

    /**
     * Plays the loss and [observedMillis] after the last disruption; returns when the job runs again,
     * or the whole time if it doesn't.
     */
    fun play(observedMillis: Long = OBSERVED_MILLIS): RestartTimes {
        repeat(WORKERS) { addWorker("w${it + 1}") }
        hosts.begin { random.nextLong(MAX_START_MILLIS) }
        time.at(SUBMIT_MILLIS) { store.accept(job()) }
        if (work.isDraining) time.at(lossMillis - DRAIN_MILLIS) { drain(worker()) }
        time.at(lossMillis) {
            check(isRunning()) { "the job doesn't run" }
            lose()
        }
        observe()
        time.playUntil(lastMillis + observedMillis)
        val backMillis = lastOffMillis + OBSERVE_MILLIS
        return RestartTimes(
            (backMillis - lossMillis).coerceAtLeast(0),
            (backMillis - lastMillis).coerceAtLeast(0)
        )
    }

    private val now: Long get() = time.now

    private fun job() = Workflow(JOB, QUEUE, "payload", work.steps, submittedMillis = now)

    /** The tasks of the last step. */
    private val tasks: List<TaskName>
        get() = List(work.steps.last().taskCount) { TaskName(JOB, 0, work.steps.lastIndex, it) }

    private fun isRunning(): Boolean =
        tasks.all { task -> workers.values.any { it.isUp && task in it.running } }

    /** The worker that runs the first task. */
    private fun worker(): ModelWorker =
        workers.values.first { it.isUp && tasks.first() in it.running }

    private fun observe() {
        workers.values.forEach { it.advance(now) }
        val wasComplete = isComplete
        isComplete = isRunning()
        if (!isComplete) lastOffMillis = now
        if (wasComplete && !isComplete) breakGang()
        time.at(now + OBSERVE_MILLIS) { observe() }
    }

    /** The members of a gang end with the first of them. */
    private fun breakGang() = workers.values.forEach { worker ->
        worker.running.toList().forEach { worker.breakRun(it, now) }
    }

    private fun lose() {
        log("$loss, worker ${worker().ref}, owner ${hosts.owner.name}")
        when (loss) {
            CensusLoss.OWNER -> hosts.restart(hosts.owner)

            CensusLoss.ZONE_OF_OWNER -> cutOffZone(areOthersCut = false)

            CensusLoss.ZONE_OF_OWNER_AND_WORKER -> cutOffZone(areOthersCut = true)

            CensusLoss.REBORN_WORKER -> rebear(worker())

            CensusLoss.REBORN_WORKER_AND_OWNER -> {
                rebear(worker())
                hosts.restart(hosts.owner)
            }

            CensusLoss.STORE_AND_WORKER,
            CensusLoss.STORE_AND_WORKER_AND_OWNER,
            CensusLoss.STORE_AND_WORKER_AND_STANDBY,
            CensusLoss.STORE_AND_WORKER_AND_ALL_HOSTS,
            CensusLoss.STORE_AND_WORKER_AND_STOPS -> loseStore()

            else -> {
                val lost = worker()
                crash(lost)
                loseHosts(lost)
            }
        }
    }

    /** Loses the hosts that are lost together with the worker [lost] while the store is up. */
    private fun loseHosts(lost: ModelWorker) = when (loss) {
        CensusLoss.WORKER -> Unit

        CensusLoss.WORKER_AND_OWNER -> hosts.restart(hosts.owner)

        CensusLoss.WORKER_AND_STOPPED_OWNER -> hosts.stop(hosts.owner)

        CensusLoss.WORKER_AND_OWNER_SERIES -> hosts.restartOwners()

        CensusLoss.ALL_HOSTS_AND_WORKER -> hosts.restartAll()

        CensusLoss.ALL_HOSTS_AND_WORKER_OWNER_GONE -> hosts.restartAllButOwner()

        CensusLoss.ALL_HOSTS_REPLACED_AND_WORKER -> hosts.replace(hosts.all)

        CensusLoss.ALL_HOSTS_AND_WORKER_HALF_REBORN -> {
            (workers.values - lost).take(WORKERS / 2).forEach(::rebear)
            hosts.restartAll()
        }

        CensusLoss.ALL_HOSTS_AND_MOST_WORKERS_OWNER_GONE -> {
            (workers.values - lost).take(WORKERS / 2).forEach(::crash)
            hosts.restartAllButOwner()
        }

        CensusLoss.OWNER_AND_STANDBY_REPLACED_AND_WORKER ->
            hosts.replace(listOf(hosts.owner, hosts.standby))

        else -> error("not a loss of hosts beside the worker: $loss")
    }

    private fun loseStore() {
        val lost = worker()
        store.goDown()
        time.at(lastMillis) { store.comeUp() }
        time.at(now + loss.lastMillis / 2) {
            crash(lost)
            when (loss) {
                CensusLoss.STORE_AND_WORKER_AND_OWNER -> hosts.restart(hosts.owner)
                CensusLoss.STORE_AND_WORKER_AND_ALL_HOSTS -> hosts.restartAllButOwner()
                else -> Unit
            }
        }
        if (loss == CensusLoss.STORE_AND_WORKER_AND_STANDBY) {
            time.at(now + STANDBY_MILLIS) { hosts.restart(hosts.standby) }
        }
        if (loss == CensusLoss.STORE_AND_WORKER_AND_STOPS) hosts.stopInTurn()
    }

    private fun cutOffZone(areOthersCut: Boolean) {
        val ownerFirst = listOf(hosts.owner) + (hosts.all - hosts.owner)
        val cutHosts = ownerFirst.take(ownerFirst.size / ZONES)
        val near = (listOf(worker()) + (workers.values - worker())).take(WORKERS / ZONES)
        for (host in cutHosts) {
            cutUntil[host.name to HostWorld.STORE] = lastMillis
            (workers.values - near.toSet()).forEach { cut(host, it) }
            (ownerFirst - cutHosts.toSet()).forEach { other ->
                cutUntil[host.name to other.name] = lastMillis
                cutUntil[other.name to host.name] = lastMillis
            }
        }
        if (!areOthersCut) return
        for (host in ownerFirst - cutHosts.toSet()) near.forEach { cut(host, it) }
    }

    private fun cut(host: ModelHost, worker: ModelWorker) {
        cutUntil[host.name to worker.ref.id] = lastMillis
    }

    private fun crash(worker: ModelWorker) {
        worker.crash()
        time.at(now + EXPIRY_MILLIS) { entries -= worker.ref.id }
    }

    private fun rebear(worker: ModelWorker) {
        worker.crash()
        time.at(now + CensusSteps.REBIRTH_MILLIS) {
            worker.restart(now)
            list(worker, isDraining = false)
        }
    }

    private fun drain(worker: ModelWorker) = list(worker, isDraining = true, startedMillis = 0)

    private fun addWorker(id: String) {
        val ref = WorkerRef(id, "10.0.0.${workers.size + 1}:1")
        val worker =
            ModelWorker(ref, WORK_MILLIS) { if (isBrief(it)) BRIEF_MILLIS else WORK_MILLIS }
        worker.restart(0)
        workers[ref] = worker
        list(worker, isDraining = false)
    }

    private fun isBrief(task: TaskName) = task.step < work.steps.lastIndex

    private fun list(worker: ModelWorker, isDraining: Boolean, startedMillis: Long = now) {
        entries[worker.ref.id] = WorkerListing(
            worker.ref,
            "service",
            "zone",
            Resources(CAPACITY_MILLI_CPUS, 64_000),
            emptyList(),
            isDraining,
            startedMillis
        )
    }

    override fun reaches(host: String, target: String): Boolean =
        now >= (cutUntil[host to target] ?: 0)

    override fun delayMillis(): Long = random.nextLong(1, MAX_DELAY_MILLIS)

    override fun lateMillisOrNull(): Long? = null

    override fun registryLagMillis(): Long = 0

    override fun tell(from: String, to: String, receive: (ModelHost) -> Unit) {
        if (!reaches(from, to)) return
        time.at(now + delayMillis()) { hosts.findOrNull(to)?.let(receive) }
    }

    override fun log(text: String) {
        log += "$now $text"
    }

    override fun send(host: String, order: WorkerOrder, answer: (WorkerAnswer) -> Unit) {
        val worker = workers.getValue(order.worker)
        val waitMillis = order.longestWaitMillis
        var isAnswered = false
        fun answerOnce(result: WorkerAnswer) {
            if (!isAnswered) answer(result)
            isAnswered = true
        }
        time.at(now + ORDER_TIMEOUT_MILLIS + waitMillis) {
            answerOnce(WorkerAnswer.Unknown("timeout"))
        }
        val incarnation = worker.incarnation
        fun carryOut(leftMillis: Long) {
            if (!reaches(host, worker.ref.id)) return
            if (!worker.isUp || worker.incarnation != incarnation) {
                return answerOnce(WorkerAnswer.Unknown("connection reset"))
            }
            val result = worker.carryOut(order, now) { monitor.onRunBegun(worker, it, now) }
            if (leftMillis > 0 && result.waitsForEnd) {
                val stepMillis = minOf(leftMillis, ModelWorker.WAIT_STEP_MILLIS)
                time.at(now + stepMillis) { carryOut(leftMillis - stepMillis) }
            } else {
                time.at(now + delayMillis()) { answerOnce(result) }
            }
        }
        time.at(now + delayMillis()) { carryOut(waitMillis) }
    }

    private companion object {
        const val JOB = "job"
        const val WORKERS = 9
        const val ZONES = 3
        const val CAPACITY_MILLI_CPUS = 12_000L

        /** Longer than a play; runs have to make progress of a percent in three seconds. */
        const val WORK_MILLIS = 120_000L
        const val BRIEF_MILLIS = 300L
        const val MAX_START_MILLIS = 300L
        const val SUBMIT_MILLIS = 1_000L

        /** Long after the job has started. */
        const val LOSS_MILLIS = 9_000L

        /** Two heartbeats, which decide how long leases may last. */
        const val LOSS_SPREAD_MILLIS = 1_200L
        const val DRAIN_MILLIS = 1_000L
        const val STANDBY_MILLIS = 1_000L
        const val EXPIRY_MILLIS = 3_300L

        /** Longer than a task may be off after the last disruption. */
        const val OBSERVED_MILLIS = 10_000L
        const val OBSERVE_MILLIS = 20L
        const val MAX_DELAY_MILLIS = 20L
        const val ORDER_TIMEOUT_MILLIS = 600L
        val QUEUE = QueuePolicy("queue", "service")
    }
}
