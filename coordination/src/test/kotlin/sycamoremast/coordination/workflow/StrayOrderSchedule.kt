/**
 * A play of owners that succeed each other while workers restart silently and are then cut off, with
 * times drawn from a seed.
 *
 * Twice, some workers end silently and are back within a second. Soon after, their owner is killed,
 * frozen, or cut off from the store, and the workers are cut off from the hosts for longer than a
 * lease.
 */
package sycamoremast.coordination.workflow

import kotlin.random.Random

/** What becomes of the owner after its workers have restarted. */
internal enum class OwnerFault {
    KILLED,

    /** Its actions of one step follow when it goes on. */
    FROZEN,

    /** It loses the store, and the other hosts lose some workers that it keeps. */
    CUT_FROM_STORE
}

/**
 * The faults of a play; [lateCalls] and [lostCalls] are shares of all calls to workers, and workers
 * shorten leases to [maxLeaseMillis].
 */
internal data class StrayOrderFaults(
    val ownerFaults: Set<OwnerFault>,
    val maxLeaseMillis: Long,
    val lateCalls: Double = 0.0,
    val lostCalls: Double = 0.0,
    val hostClockError: Long = 0
) {
    val settings: SchedulerSettings
        get() = SchedulerSettings.within(maxLeaseMillis, SchedulerSettings.DEFAULT_STOP_MILLIS)
}

internal class StrayOrderSchedule(seed: Long, private val faults: StrayOrderFaults) :
    StrayOrderWorld(faults.settings) {
    private val random = Random(seed)
    override val hosts = (1..HOSTS).map {
        val error = faults.hostClockError
        ModelHost("h$it", this, PER_MILLE + random.nextLong(-error, error + 1))
    }

    fun play() {
        begin(workflow(LASTING, LASTING_TASKS, isLongRunning = true, now))
        repeat(WORKERS) { addWorker(newWorker(it + 1)) }
        hosts.forEach { host -> time.at(random.nextLong(MAX_START_MILLIS)) { host.start() } }
        for (i in 1..JOBS) {
            time.at(random.nextLong(FIRST_JOB_MILLIS, LAST_JOB_MILLIS)) {
                store.accept(workflow("job$i", 1, isLongRunning = false, now))
            }
        }
        for (fromMillis in EPISODES_MILLIS) {
            time.at(fromMillis + random.nextLong(MAX_SHIFT_MILLIS)) { restartAndCut() }
        }
        observe(END_MILLIS)
        time.playUntil(END_MILLIS)
        monitor.checkEnds()
        checkRunning(LASTING, LASTING_TASKS)
    }

    private fun newWorker(number: Int): ModelWorker {
        val ref = WorkerRef("w$number", "10.0.0.$number:1")
        val rate = PER_MILLE - random.nextLong(SLOWEST_CLOCK_PER_MILLE + 1)
        return ModelWorker(ref, SHORT_MILLIS, rate, faults.maxLeaseMillis) {
            when {
                it.workflow == LASTING -> LASTING_MILLIS
                it.workflow.hashCode() % LONG_JOB_DIVISOR == 0 -> LONG_MILLIS
                else -> SHORT_MILLIS
            }
        }
    }

    private fun restartAndCut() {
        val restarted = workers.values.shuffled(random).take(random.nextInt(2, WORKERS - 1))
        val downMillis = random.nextLong(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS)
        restarted.forEach { restart(it, downMillis, random.nextLong(MAX_LISTING_MILLIS)) }
        val faultMillis = now + downMillis + random.nextLong(MAX_UNTIL_FAULT_MILLIS)
        time.at(faultMillis) { loseOwner(restarted) }
        time.at(faultMillis + random.nextLong(MAX_UNTIL_CUT_MILLIS)) {
            for (worker in restarted) {
                hosts.filter { it.name to worker.ref.id !in kept }
                    .forEach { cut(it.name, worker.ref.id, CUT_MILLIS) }
            }
        }
    }

    /** The workers that an owner without the store goes on to reach. */
    private val kept = HashSet<Pair<String, String>>()

    private fun loseOwner(restarted: List<ModelWorker>) {
        val owner = hosts.firstOrNull { it.term != null } ?: return
        val fault = faults.ownerFaults.random(random)
        log("$fault ${owner.name}")
        when (fault) {
            OwnerFault.KILLED -> {
                owner.kill()
                val darkMillis = random.nextLong(MIN_DARK_MILLIS, MAX_DARK_MILLIS)
                time.at(now + darkMillis) { owner.start() }
            }

            OwnerFault.FROZEN -> owner.freeze(
                random.nextLong(MIN_FREEZE_MILLIS, MAX_FREEZE_MILLIS),
                isClockCounting = true
            )

            OwnerFault.CUT_FROM_STORE -> {
                cut(owner.name, HostWorld.STORE, LONGEST_CUT_MILLIS)
                restarted.filter {
                    random.nextBoolean()
                }.forEach { kept += owner.name to it.ref.id }
            }
        }
    }

    override fun fateOf(host: String, order: WorkerOrder): CallFate {
        val drawn = random.nextDouble()
        return when {
            drawn < faults.lateCalls ->
                CallFate.Late(random.nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS))

            drawn < faults.lateCalls + faults.lostCalls -> CallFate.Lost

            else -> CallFate.Prompt
        }
    }

    override fun delayMillis(): Long = random.nextLong(1, MAX_DELAY_MILLIS)

    private companion object {
        const val HOSTS = 4
        const val WORKERS = 6
        const val LASTING = "lasting"
        const val LASTING_TASKS = 8
        const val LASTING_MILLIS = 10_000_000L
        const val SHORT_MILLIS = 700L

        /** Longer than a successor waits for leases. */
        const val LONG_MILLIS = 9_000L
        const val LONG_JOB_DIVISOR = 10
        const val JOBS = 300
        const val PER_MILLE = 1_000L
        const val SLOWEST_CLOCK_PER_MILLE = 20L
        const val MAX_START_MILLIS = 300L
        const val FIRST_JOB_MILLIS = 1_000L
        const val LAST_JOB_MILLIS = 45_000L
        val EPISODES_MILLIS = listOf(7_000L, 27_000L)
        const val MAX_SHIFT_MILLIS = 2_000L
        const val MIN_DOWN_MILLIS = 300L
        const val MAX_DOWN_MILLIS = 1_000L

        /** How long after its return the platform's entry of a worker may show that. */
        const val MAX_LISTING_MILLIS = 2_000L
        const val MAX_UNTIL_FAULT_MILLIS = 2_000L
        const val MAX_UNTIL_CUT_MILLIS = 1_000L
        const val CUT_MILLIS = 9_000L

        /** Longer than an owner may go on and a lease may last after that. */
        const val LONGEST_CUT_MILLIS = 16_000L
        const val MIN_DARK_MILLIS = 1_000L
        const val MAX_DARK_MILLIS = 3_000L
        const val MIN_FREEZE_MILLIS = 1_000L
        const val MAX_FREEZE_MILLIS = 9_000L
        const val MIN_LATE_MILLIS = 2_000L
        const val MAX_LATE_MILLIS = 12_000L
        const val MAX_DELAY_MILLIS = 20L
        const val END_MILLIS = 65_000L
    }
}
