/**
 * A simulation of several hosts that own the same workers in turn, in virtual time, with faults
 * drawn from a seed.
 *
 * It checks that no task runs at two places at once, and that a lost task that is to last starts by
 * a bound that does not depend on how many owners there were.
 */
package sycamoremast.coordination.workflow

import kotlin.random.Random
import sycamoremast.coordination.Resources

/** A kind of fault, which occurs every [meanMillis] on average. */
internal enum class SuccessionFault(val meanMillis: Long) {
    KILL_HOST(5_000),
    STOP_HOST(7_000),
    FREEZE_HOST(4_000),

    /** The steady clock doesn't count the time for which a host is suspended. */
    SUSPEND_HOST(3_000),
    CUT_HOST_FROM_STORE(5_000),
    CUT_HOST_FROM_WORKER(1_500),
    STORE_OUTAGE(9_000),

    /** The owner loses the store, and the other hosts lose some workers for longer. */
    SPLIT(9_000),

    /** The owner's key is deleted before its lease ends. */
    REVOKE_KEY(5_000),

    /** The owner's key is deleted while the owner can't learn of it. */
    REVOKE_KEY_AND_SPLIT(9_000),
    CRASH_WORKER(3_000),
    CUT_WORKER(5_000),
    MOVE_WORKER(4_000),
    DRAIN_WORKER(5_000),
    CUT_HOST_FROM_HOST(2_000),

    /** A host is gone for good, and another one comes that was never registered. */
    REPLACE_HOST(9_000),

    /** Most hosts lose the store, and those that have it lose some workers for longer. */
    PARTIAL_OUTAGE(9_000),

    /** All hosts are stopped or killed in turn, some of them again before the last one is. */
    RESTART_ALL(8_000),

    /** The owner's key is deleted, and hosts are stopped while they claim it. */
    STOP_IN_ELECTION(6_000),

    /**
     * Some workers are silent for a moment as an outage of the store begins. When the store is back,
     * the owner doesn't have it, and the other hosts lose these workers for longer.
     */
    SILENCE_BEFORE_OUTAGE(12_000),

    /** All hosts are killed at once and started again one after the other. */
    KILL_ALL_HOSTS(9_000)
}

internal data class SuccessionFaults(
    val kinds: Set<SuccessionFault>,
    val lateCalls: Double = 0.0,
    val lostAnswers: Double = 0.0,
    /** How far the rates of hosts' clocks differ from true time, in thousandths. */
    val hostClockError: Long = 0,
    /** How much slower than true time workers' clocks may be, in thousandths. */
    val workerClockError: Long = 20,
    val restartsHosts: Boolean = true,
    val acknowledgesWithStore: Boolean = false,
    /** How many messages between hosts arrive late, and so out of order. */
    val lateMessages: Double = 0.0,
    /** By how much the owner may learn later than others of processes that come and go. */
    val registryLagMillis: Long = 0,
    /** Whether workflows that have ended are forgotten soon, with this bug if not null. */
    val forgetsSoon: Boolean = false,
    val plantedBug: PlantedForgettingBug? = null,
    val workLagMillis: Long = 0
)

internal class SuccessionSchedule(
    seed: Long,
    private val faults: SuccessionFaults,
    private val workerCount: Int = WORKERS
) : HostWorld {
    private val random = Random(seed)

    /** For messages between hosts, which leaves the course of other events as it is without them. */
    private val peerRandom = Random(seed + 1)
    override val time = VirtualTime()
    private val now: Long get() = time.now
    override val store = ModelStore(time, pausesLeases = random.nextBoolean())
    private val workers = LinkedHashMap<WorkerRef, ModelWorker>()
    private val entries = LinkedHashMap<String, WorkerListing>()
    override val listings: Map<String, WorkerListing> get() = entries
    private val monitor = RunMonitor { workers.values }
    override val settings = if (faults.forgetsSoon) soonForgetting() else SchedulerSettings()
    override val workLagMillis: Long get() = faults.workLagMillis
    val forgetting = ForgettingLoad(time, store, Random(seed + 2), END_MILLIS, ::short)
    private val hosts = (1..HOSTS).map { newHost("h$it") }.toMutableList()

    /** Until when a host or worker is cut off, by the pair of their names. */
    private val cutUntil = HashMap<Pair<String, String>, Long>()

    /** Since when each host has been able to use each worker or the store. */
    private val usableSince = HashMap<Pair<String, String>, Long>()

    /** When an order was last sent to each worker that may have extended its lease or answered. */
    private val lastOrderMillis = HashMap<WorkerRef, Long>()
    private val lastRanMillis = HashMap<TaskName, Long>()
    private val late = HashSet<TaskName>()
    private var lastAddress = 0
    private var lastHost = HOSTS
    private var restoredMillis: Long? = null

    /** When the owner first counted a heartbeat that it had announced, or null. */
    private var confirmedMillis: Long? = null
    val violations: List<Violation> get() = monitor.violations + forgetting.violations
    val log = ArrayList<String>()

    /** The number of terms of ownership. */
    val terms: Long get() = store.epoch.epoch

    /** How many runs have ended as their leases lapsed. */
    val lapsedRuns: Int get() = workers.values.sumOf { it.lapsedRuns }

    /** Plays the faults and a calm time after them. */
    fun play() {
        begin()
        for (kind in SuccessionFault.entries.filter { it in faults.kinds }) schedule(kind)
        for (i in 0 until SHORT_JOBS) {
            time.at(random.nextLong(FAULTS_END_MILLIS)) { store.accept(short("job$i")) }
        }
        observe()
        time.playUntil(END_MILLIS)
        monitor.checkEnds()
    }

    /**
     * Plays an outage of the store for all, from [fromMillis] for [millis], and no other fault but
     * that all hosts lose worker w1 for [silentMillis] up to the outage.
     */
    fun playOutage(fromMillis: Long, millis: Long, silentMillis: Long = 0) {
        begin()
        playOutageOnly(fromMillis, millis, silentMillis)
    }

    /**
     * Like [playOutage], with worker w1 lost for good in the middle of the outage; returns how long
     * after the outage all lasting tasks run again.
     */
    fun playOutageWithCrash(fromMillis: Long, millis: Long): Long {
        begin()
        val crashed = workers.values.first()
        time.at(fromMillis + millis / 2) { crashed.crash() }
        time.at(fromMillis + millis) { unlist(crashed) }
        awaitLasting(fromMillis + millis)
        playOutageOnly(fromMillis, millis)
        return checkNotNull(restoredMillis) { "the lasting tasks never run" } - fromMillis - millis
    }

    /**
     * Like [playOutage], while hosts are stopped as planned and started again in turn: the owner, or
     * all others, one each two seconds from the outage's second second on.
     */
    fun playOutageWithStops(fromMillis: Long, millis: Long, isOwnerStopped: Boolean) {
        begin()
        time.at(fromMillis + FIRST_STOP_MILLIS) {
            val stopped = hosts.filter { (it.term != null) == isOwnerStopped }
            for ((index, host) in stopped.withIndex()) {
                time.at(now + index * STOP_INTERVAL_MILLIS) { stop(host) }
            }
        }
        playOutageOnly(fromMillis, millis)
    }

    /** Like [playOutage], with the owner killed [killMillis] after the outage's begin. */
    fun playOutageWithKill(fromMillis: Long, millis: Long, killMillis: Long) {
        begin()
        time.at(fromMillis + killMillis) {
            val killed = hosts.first { it.term != null }
            killed.kill()
            time.at(now + OTHERS_DARK_MILLIS) { killed.start() }
        }
        playOutageOnly(fromMillis, millis)
    }

    /**
     * Plays an outage of the store for all from [fromMillis] on, and returns how long after its begin
     * the owner counts the first heartbeat that it has announced.
     */
    fun playOutageUntilConfirmed(fromMillis: Long): Long {
        begin()
        time.at(fromMillis) {
            store.goDown()
            awaitConfirmed(checkNotNull(hosts.firstNotNullOfOrNull { it.term }) { "no owner" })
        }
        observe()
        time.playUntil(fromMillis + MAX_CUT_MILLIS)
        return checkNotNull(confirmedMillis) { "no announced heartbeat counts" } - fromMillis
    }

    private fun awaitConfirmed(held: ModelHost.Term) {
        if (held.scheduler.succession.confirmedMillis != null) {
            confirmedMillis = now
        } else {
            time.at(now + CONFIRMED_STEP_MILLIS) { awaitConfirmed(held) }
        }
    }

    /** Like [playOutage], with the owner stopped as planned [beforeMillis] before the outage. */
    fun playOutageAfterStop(fromMillis: Long, millis: Long, beforeMillis: Long) {
        begin()
        time.at(fromMillis - beforeMillis) { hosts.first { it.term != null }.let(::stop) }
        playOutageOnly(fromMillis, millis)
    }

    /**
     * Plays that a worker is lost for good and all hosts are killed at [atMillis], the owner's for
     * [ownerDarkMillis] and the others for [OTHERS_DARK_MILLIS]. The first [killedSuccessors] owners
     * that follow are killed before they write a record, and started again like the others.
     *
     * Returns how long after the loss all lasting tasks run again.
     */
    fun playKillOfAllHosts(
        atMillis: Long,
        ownerDarkMillis: Long = OTHERS_DARK_MILLIS,
        killedSuccessors: Int = 0
    ): Long {
        begin()
        time.at(atMillis) {
            val crashed = workers.values.first()
            crashed.crash()
            unlist(crashed)
            for (host in hosts) {
                val darkMillis = if (host.term != null) ownerDarkMillis else OTHERS_DARK_MILLIS
                host.kill()
                time.at(now + darkMillis) { host.start() }
            }
            killSuccessors(killedSuccessors)
        }
        awaitLasting(atMillis)
        observe()
        time.playUntil(END_MILLIS)
        return checkNotNull(restoredMillis) { "the lasting tasks never run" } - atMillis
    }

    private fun killSuccessors(count: Int) {
        if (count == 0) return
        val successor = hosts.find { it.term != null }
        if (successor != null) {
            successor.kill()
            time.at(now + OTHERS_DARK_MILLIS) { successor.start() }
        }
        time.at(now + 1) { killSuccessors(if (successor == null) count else count - 1) }
    }

    private fun awaitLasting(fromMillis: Long) {
        time.at(fromMillis) {
            val running = workers.values.filter { it.isUp }.flatMap { it.running }
            if (running.count { it.workflow == LASTING } == LASTING_TASKS) {
                restoredMillis = now
            } else {
                awaitLasting(now + OBSERVE_MILLIS)
            }
        }
    }

    private fun playOutageOnly(fromMillis: Long, millis: Long, silentMillis: Long = 0) {
        if (silentMillis > 0) {
            time.at(fromMillis - silentMillis) {
                hosts.forEach { cut(it.name, "w1", silentMillis) }
            }
        }
        time.at(fromMillis) { store.goDown() }
        time.at(fromMillis + millis) { store.comeUp() }
        observe()
        time.playUntil(END_MILLIS)
    }

    /**
     * Plays that all hosts lose the store at [fromMillis] and are suspended for [suspendMillis]
     * three times, while a new host has the store. Neither reaches the other, and each reaches the
     * workers that the other doesn't, the old ones a majority.
     */
    fun playNewHostBesideSuspendedOnes(fromMillis: Long, suspendMillis: Long) {
        begin()
        time.at(fromMillis) {
            val old = hosts.toList()
            val added = newHost("h${++lastHost}")
            hosts += added
            old.forEach { host ->
                cut(host.name, HostWorld.STORE, END_MILLIS)
                cut(host.name, added.name, END_MILLIS)
            }
            divideWorkers(old, MAJORITY, listOf(added))
            added.start()
            for (i in 1L..3) {
                time.at(fromMillis + i * SUSPENSION_INTERVAL_MILLIS) {
                    old.forEach { it.freeze(suspendMillis, isClockCounting = false) }
                }
            }
        }
        observe()
        time.playUntil(END_MILLIS)
    }

    /**
     * Plays that all hosts lose the store at [fromMillis], while a new host has the store and reaches
     * only one standby, which is stopped [stopMillis] later, and the minority of workers that the
     * others don't.
     */
    fun playNewHostBesideStoppedStandby(fromMillis: Long, stopMillis: Long) {
        begin()
        time.at(fromMillis) {
            val old = hosts.toList()
            val stopped = old.first { it.term == null }
            val added = newHost("h${++lastHost}")
            hosts += added
            old.forEach { cut(it.name, HostWorld.STORE, END_MILLIS) }
            (old - stopped).forEach { cut(it.name, added.name, END_MILLIS) }
            divideWorkers(old, MAJORITY, listOf(added))
            time.at(fromMillis + NEW_HOST_MILLIS) { added.start() }
            time.at(fromMillis + stopMillis) { stop(stopped) }
        }
        observe()
        time.playUntil(END_MILLIS)
    }

    /**
     * Plays that all hosts lose the store at [fromMillis], and a standby is stopped and has the store
     * when it starts again. From then on, neither it nor the others reach each other, and each reaches
     * the workers that the other doesn't, the others a majority.
     */
    fun playRestartedStandbyBesideOwner(fromMillis: Long) {
        begin()
        time.at(fromMillis) {
            hosts.forEach { cut(it.name, HostWorld.STORE, END_MILLIS) }
            val stopped = hosts.first { it.term == null }
            val others = hosts - stopped
            divideWorkers(others, MAJORITY, listOf(stopped))
            time.at(fromMillis + FIRST_STOP_MILLIS) { stop(stopped) }
            time.at(fromMillis + FIRST_STOP_MILLIS + MAX_DELAY_MILLIS) {
                others.forEach { cut(it.name, stopped.name, END_MILLIS) }
                cutUntil -= stopped.name to HostWorld.STORE
            }
        }
        observe()
        time.playUntil(END_MILLIS)
    }

    /**
     * Plays that all hosts lose the store at [fromMillis], and [startMillis] later a new host starts
     * that has the store. From then on, neither it nor the others reach each other, and only it
     * reaches the first [reached] workers, the others the rest.
     *
     * Returns how long after the start of the new host all lasting tasks run for good, once leases of
     * the workers that it doesn't reach have lapsed.
     */
    fun playNewHostWithWorkers(fromMillis: Long, startMillis: Long, reached: Int = MAJORITY): Long {
        begin()
        val splitMillis = fromMillis + startMillis
        time.at(fromMillis) { hosts.forEach { cut(it.name, HostWorld.STORE, END_MILLIS) } }
        time.at(splitMillis) {
            val old = hosts.toList()
            val added = newHost("h${++lastHost}")
            hosts += added
            old.forEach {
                cut(it.name, added.name, END_MILLIS)
                cut(added.name, it.name, END_MILLIS)
            }
            divideWorkers(listOf(added), reached, old)
            added.start()
        }
        awaitLasting(splitMillis + SchedulerSettings().leaseHorizonMillis + 1)
        observe()
        time.playUntil(END_MILLIS)
        return checkNotNull(restoredMillis) { "the lasting tasks never run" } - splitMillis
    }

    /** From now on, only [some] hosts reach the first [count] workers, and only [others] the rest. */
    private fun divideWorkers(some: List<ModelHost>, count: Int, others: List<ModelHost>) {
        for ((index, id) in entries.keys.withIndex()) {
            val without = if (index < count) others else some
            without.forEach { cut(it.name, id, END_MILLIS) }
        }
    }

    private fun newHost(name: String): ModelHost {
        val error = faults.hostClockError
        return ModelHost(name, this, PER_MILLE + random.nextLong(-error, error + 1))
    }

    private fun begin() {
        hosts.forEach { store.register(HostProcess.of(it.name, "1")) }
        repeat(workerCount) { addWorker("w${it + 1}") }
        store.onOwnerChanged = { hosts.forEach { it.onOwnerKey() } }
        store.accept(lasting())
        store.plantedBug = faults.plantedBug
        if (faults.forgetsSoon) forgetting.begin()
        hosts.forEach { host -> time.at(random.nextLong(MAX_START_MILLIS)) { host.start() } }
    }

    private fun soonForgetting(): SchedulerSettings {
        val isBugPlanted = faults.plantedBug == PlantedForgettingBug.FORGETS_AT_ONCE
        return SchedulerSettings(
            statusMillis = if (isBugPlanted) 0 else ForgettingLoad.STATUS_MILLIS,
            clockJumpMillis = if (isBugPlanted) 0 else MARGIN_MILLIS,
            recordDelayMillis = MAX_CUT_MILLIS
        )
    }

    private fun lasting(): Workflow {
        val step = WorkflowStep(LASTING_TASKS, Resources(MILLI_CPUS, 1_000), isLongRunning = true)
        return Workflow(LASTING, QUEUE, "payload", listOf(step), submittedMillis = now)
    }

    private fun short(id: String): Workflow {
        val step = WorkflowStep(2, Resources(MILLI_CPUS, 1_000))
        return Workflow(id, QUEUE, "payload", listOf(step), submittedMillis = now)
    }

    private fun addWorker(id: String) {
        val ref = WorkerRef(id, "10.0.0.${++lastAddress}:1")
        val rate = PER_MILLE - random.nextLong(faults.workerClockError + 1)
        val worker = ModelWorker(ref, SHORT_MILLIS, rate) {
            if (it.workflow == LASTING) LASTING_MILLIS else SHORT_MILLIS
        }
        worker.restart(now)
        workers[ref] = worker
        list(worker, isDraining = false)
    }

    private fun list(worker: ModelWorker, isDraining: Boolean, startedMillis: Long = now) {
        val capacity = Resources(CAPACITY_MILLI_CPUS, 64_000)
        entries[worker.ref.id] = WorkerListing(
            worker.ref,
            "service",
            "zone",
            capacity,
            emptyList(),
            isDraining,
            startedMillis
        )
    }

    private fun schedule(kind: SuccessionFault) {
        time.at(now + random.nextLong(1, 2 * kind.meanMillis)) {
            if (now > FAULTS_END_MILLIS) return@at
            occur(kind)
            schedule(kind)
        }
    }

    private fun occur(kind: SuccessionFault) {
        val host = randomHost()
        val current = entries.keys.randomOrNull(random)
            ?.let { id -> workers.values.lastOrNull { it.ref.id == id && it.isUp } }
        log("$kind ${host.name} ${current?.ref}")
        when (kind) {
            SuccessionFault.KILL_HOST -> {
                host.kill()
                restartLater(host)
            }

            SuccessionFault.KILL_ALL_HOSTS, SuccessionFault.RESTART_ALL,
            SuccessionFault.STOP_IN_ELECTION -> occurToHosts(kind)

            SuccessionFault.STOP_HOST -> stop(host)

            SuccessionFault.FREEZE_HOST ->
                host.freeze(random.nextLong(MAX_FREEZE_MILLIS), isClockCounting = true)

            SuccessionFault.SUSPEND_HOST ->
                host.freeze(random.nextLong(MAX_SUSPEND_MILLIS), isClockCounting = false)

            SuccessionFault.REPLACE_HOST -> replace(host)

            SuccessionFault.CRASH_WORKER, SuccessionFault.CUT_WORKER,
            SuccessionFault.MOVE_WORKER, SuccessionFault.DRAIN_WORKER ->
                if (current != null) occur(kind, current)

            else -> lose(kind, host)
        }
    }

    /** Cuts [host] or others off, or takes the store away. */
    private fun lose(kind: SuccessionFault, host: ModelHost) {
        when (kind) {
            SuccessionFault.CUT_HOST_FROM_STORE -> cut(host.name, HostWorld.STORE)

            SuccessionFault.CUT_HOST_FROM_WORKER ->
                cut(host.name, "w${1 + random.nextInt(workerCount)}")

            SuccessionFault.CUT_HOST_FROM_HOST -> cut(host.name, hosts.random(random).name)

            SuccessionFault.STORE_OUTAGE -> {
                store.goDown()
                time.at(now + random.nextLong(MAX_CUT_MILLIS)) { store.comeUp() }
            }

            SuccessionFault.PARTIAL_OUTAGE -> loseStoreOfMost()

            SuccessionFault.SILENCE_BEFORE_OUTAGE -> silenceBeforeOutage()

            SuccessionFault.REVOKE_KEY -> revokeKey()

            SuccessionFault.SPLIT -> split(isKeyRevoked = false)

            SuccessionFault.REVOKE_KEY_AND_SPLIT -> split(isKeyRevoked = true)

            else -> error("not a loss of contact: $kind")
        }
    }

    private fun occur(kind: SuccessionFault, worker: ModelWorker) = when (kind) {
        SuccessionFault.CRASH_WORKER -> crash(worker)

        SuccessionFault.CUT_WORKER -> hosts.forEach { cut(it.name, worker.ref.id) }

        SuccessionFault.MOVE_WORKER -> {
            worker.crash()
            entries -= worker.ref.id
            time.at(now + random.nextLong(MAX_DOWN_MILLIS)) { addWorker(worker.ref.id) }
        }

        SuccessionFault.DRAIN_WORKER -> drain(worker)

        else -> error("not a fault of a worker: $kind")
    }

    private fun stop(host: ModelHost) {
        if (host.isUp) host.stop { restartLater(host) }
    }

    private fun occurToHosts(kind: SuccessionFault) = when (kind) {
        SuccessionFault.KILL_ALL_HOSTS -> hosts.forEach {
            it.kill()
            restartLater(it)
        }

        SuccessionFault.RESTART_ALL -> restartAll()

        SuccessionFault.STOP_IN_ELECTION -> stopInElection()

        else -> error("not a fault of several hosts: $kind")
    }

    private fun restartAll() {
        val restarted = hosts.shuffled(random) + hosts.shuffled(random).take(2)
        for ((index, host) in restarted.withIndex()) {
            time.at(now + index * RESTART_INTERVAL_MILLIS) {
                if (random.nextInt(3) > 0) {
                    stop(host)
                } else {
                    host.kill()
                    restartLater(host)
                }
            }
        }
    }

    private fun stopInElection() {
        revokeKey()
        for (host in hosts.shuffled(random).take(2)) {
            time.at(now + random.nextLong(1, MAX_ELECTION_MILLIS)) { stop(host) }
        }
    }

    private fun revokeKey() {
        store.owner?.let { store.endLease(it.lease) }
    }

    private fun split(isKeyRevoked: Boolean) {
        cutOffOwner()
        if (isKeyRevoked) revokeKey()
    }

    private fun cutOffOwner() {
        val owner = hosts.firstOrNull { it.term != null } ?: return
        cut(owner.name, HostWorld.STORE, LONGEST_CUT_MILLIS)
        for (id in entries.keys.filter { random.nextInt(3) == 0 }) {
            hosts.filter { it !== owner }.forEach { cut(it.name, id, LONGEST_CUT_MILLIS) }
        }
    }

    private fun replace(host: ModelHost) {
        host.kill()
        hosts -= host
        val added = newHost("h${++lastHost}")
        hosts += added
        time.at(now + random.nextLong(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS)) {
            if (!added.isUp && added in hosts) added.start()
        }
    }

    private fun loseStoreOfMost() {
        val (without, with) = hosts.partition { it.term != null || random.nextInt(4) > 0 }
        without.forEach { cut(it.name, HostWorld.STORE, LONGEST_CUT_MILLIS) }
        for (id in entries.keys.filter { random.nextInt(3) == 0 }) {
            with.forEach { cut(it.name, id, LONGEST_CUT_MILLIS) }
        }
    }

    private fun silenceBeforeOutage() {
        val silent = entries.keys.filter { random.nextInt(3) == 0 }
        val silentMillis = random.nextLong(MIN_SILENT_MILLIS, MAX_SILENT_MILLIS)
        silent.forEach { id -> hosts.forEach { cut(it.name, id, silentMillis) } }
        time.at(now + silentMillis) { store.goDown() }
        time.at(now + silentMillis + random.nextLong(MAX_CUT_MILLIS)) {
            val owner = hosts.firstOrNull { it.term != null }
            if (owner != null) {
                cut(owner.name, HostWorld.STORE, LONGEST_CUT_MILLIS)
                for (host in hosts.filter { it !== owner }) {
                    silent.forEach { cut(host.name, it, LONGEST_CUT_MILLIS) }
                }
            }
            store.comeUp()
        }
    }

    private fun randomHost(): ModelHost =
        hosts.firstOrNull { it.term != null && random.nextBoolean() } ?: hosts.random(random)

    private fun restartLater(host: ModelHost) {
        if (!faults.restartsHosts && hosts.count { it.isUp } > 1) return
        time.at(now + random.nextLong(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS)) {
            if (!host.isUp && host in hosts) host.start()
        }
    }

    private fun cut(host: String, target: String, millis: Long = random.nextLong(MAX_CUT_MILLIS)) {
        val until = now + millis
        log("  $host is cut off from $target until $until")
        cutUntil.merge(host to target, until, ::maxOf)
    }

    private fun crash(worker: ModelWorker) {
        worker.crash()
        time.at(now + EXPIRY_MILLIS) { if (!worker.isUp) unlist(worker) }
        val isBack = random.nextInt(4) > 0
        if (!isBack) {
            time.at(now + MAX_CUT_MILLIS) { addWorker("x${lastAddress + 1}") }
            return
        }
        time.at(now + random.nextLong(MIN_DOWN_MILLIS, MAX_CUT_MILLIS)) {
            log("${worker.ref} is back")
            worker.restart(now)
            list(worker, isDraining = false)
        }
    }

    private fun unlist(worker: ModelWorker) {
        if (entries[worker.ref.id]?.ref == worker.ref) entries -= worker.ref.id
    }

    private fun drain(worker: ModelWorker) {
        list(worker, isDraining = true, entries.getValue(worker.ref.id).startedUnixMillis ?: now)
        time.at(now + random.nextLong(MIN_DRAIN_MILLIS, MAX_CUT_MILLIS)) {
            if (!worker.isUp) return@at
            log("${worker.ref} leaves")
            worker.crash()
            unlist(worker)
            addWorker("x${lastAddress + 1}")
        }
    }

    override val isStoreLossy: Boolean get() = random.nextDouble() < faults.lostAnswers

    override fun reaches(host: String, target: String): Boolean =
        now >= (cutUntil[host to target] ?: 0)

    override fun delayMillis(): Long = random.nextLong(1, MAX_DELAY_MILLIS)

    override fun lateMillisOrNull(): Long? = if (random.nextDouble() < faults.lateCalls) {
        random.nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS)
    } else {
        null
    }

    override val acknowledgesWithStore: Boolean get() = faults.acknowledgesWithStore

    override fun tell(from: String, to: String, receive: (ModelHost) -> Unit) {
        if (!reaches(from, to) || !reaches(to, from)) return
        if (peerRandom.nextDouble() < faults.lostAnswers) return
        val isLate = faults.lateMessages > 0 && peerRandom.nextDouble() < faults.lateMessages
        val maxMillis = if (isLate) MAX_LATE_MILLIS else MAX_DELAY_MILLIS
        time.at(now + peerRandom.nextLong(1, maxMillis)) {
            hosts.find { it.name == to }?.let(receive)
        }
    }

    override fun registryLagMillis(): Long =
        if (faults.registryLagMillis > 0) peerRandom.nextLong(faults.registryLagMillis) else 0

    override fun log(text: String) {
        log += "$now $text"
    }

    override fun send(host: String, order: WorkerOrder, answer: (WorkerAnswer) -> Unit) {
        val worker = workers.getValue(order.worker)
        if (order.mayGrantLease) lastOrderMillis[order.worker] = now
        var isAnswered = false
        fun answerOnce(result: WorkerAnswer) {
            if (!isAnswered) answer(result)
            isAnswered = true
        }
        val wait = order.longestWaitMillis
        time.at(now + ORDER_TIMEOUT_MILLIS + wait) { answerOnce(WorkerAnswer.Unknown("timeout")) }
        val late = lateMillisOrNull()
        val incarnation = worker.incarnation
        fun carryOut(leftMillis: Long) {
            if (!worker.isUp || worker.incarnation != incarnation) {
                time.at(now + 1) { answerOnce(WorkerAnswer.Unknown("connection reset")) }
                return
            }
            if (!reaches(host, order.worker.id)) return
            val result = carryOut(host, order, worker)
            if (leftMillis > 0 && result.waitsForEnd) {
                val stepMillis = minOf(leftMillis, ModelWorker.WAIT_STEP_MILLIS)
                time.at(now + stepMillis) { carryOut(leftMillis - stepMillis) }
                return
            }
            val isLost = late != null || random.nextDouble() < faults.lostAnswers
            if (isLost) return
            time.at(now + delayMillis()) {
                if (reaches(host, order.worker.id)) answerOnce(result)
            }
        }
        time.at(now + (late ?: delayMillis())) { carryOut(wait) }
    }

    private fun carryOut(host: String, order: WorkerOrder, worker: ModelWorker): WorkerAnswer {
        lastOrderMillis[order.worker] = now
        return worker.carryOut(order, now) {
            log("begins $it on ${worker.ref} by $host")
            monitor.onRunBegun(worker, it, now)
        }
    }

    private fun observe() {
        workers.values.forEach { it.advance(now) }
        workers.values.filter { it.isUp }.flatMap { it.running }.forEach { lastRanMillis[it] = now }
        updateUsable()
        hosts.firstOrNull { isOwnerInPlace(it) }?.let(::checkLasting)
        if (now < END_MILLIS) time.at(now + OBSERVE_MILLIS) { observe() }
    }

    private fun updateUsable() {
        for (host in hosts) {
            val isHostUp = host.isUp && !host.isFrozen
            val hasStore = isHostUp && store.isUp && reaches(host.name, HostWorld.STORE)
            updateUsable(host.name to HostWorld.STORE, hasStore)
            workers.values.groupBy { it.ref.id }.forEach { (id, lives) ->
                val isReached = lives.any { it.isUp } && isHostUp && reaches(host.name, id)
                updateUsable(host.name to id, isReached)
            }
        }
    }

    private fun updateUsable(pair: Pair<String, String>, isUsable: Boolean) {
        if (isUsable) usableSince.putIfAbsent(pair, now) else usableSince -= pair
    }

    private fun isUsable(host: ModelHost, target: String): Boolean =
        now - (usableSince[host.name to target] ?: now) >= IN_PLACE_MILLIS

    private fun isOwnerInPlace(host: ModelHost): Boolean {
        val term = host.term ?: return false
        val begunMillis = term.begunMillis ?: return false
        return now - begunMillis >= IN_PLACE_MILLIS &&
            store.owner?.epoch == term.epoch &&
            isUsable(host, HostWorld.STORE)
    }

    /**
     * Checks that all lasting tasks run if [host], the owner, has been undisturbed for a while and
     * all leases of workers that it does not reach lapsed long ago.
     *
     * A host can't know how old leases are that were granted before it reached the store.
     */
    private fun checkLasting(host: ModelHost) {
        val informedMillis = usableSince[host.name to HostWorld.STORE] ?: now
        if (now < informedMillis + LOST_BOUND_MILLIS) return
        val unreached = workers.values.filter { !it.isUp || !isUsable(host, it.ref.id) }
        if (unreached.any { now < (lastOrderMillis[it.ref] ?: 0) + LOST_BOUND_MILLIS }) return
        val hasRoom = entries.values.any { !it.isDraining && isUsable(host, it.ref.id) }
        if (!hasRoom) return
        for (index in 0 until LASTING_TASKS) {
            val task = TaskName(LASTING, 0, 0, index)
            val offMillis = now - (lastRanMillis[task] ?: 0)
            if (offMillis > LOST_BOUND_MILLIS && late.add(task)) {
                log("late $task, off for $offMillis ms")
                monitor.violations += Violation("does not last", task, now)
            }
        }
    }

    private companion object {
        const val HOSTS = 4
        const val WORKERS = 6
        const val MAJORITY = 4
        const val LASTING = "lasting"
        const val LASTING_TASKS = 8
        const val LASTING_MILLIS = 10_000_000L
        const val SHORT_MILLIS = 700L
        const val SHORT_JOBS = 40
        const val MILLI_CPUS = 1_000L
        const val CAPACITY_MILLI_CPUS = 12_000L
        const val PER_MILLE = 1_000L

        /** Covers the error of hosts' clocks within the time for which records are kept. */
        const val MARGIN_MILLIS = 500L
        const val FAULTS_END_MILLIS = 35_000L
        const val END_MILLIS = 60_000L
        const val OBSERVE_MILLIS = 100L
        const val CONFIRMED_STEP_MILLIS = 10L
        const val MAX_START_MILLIS = 300L
        const val MAX_DELAY_MILLIS = 20L
        const val ORDER_TIMEOUT_MILLIS = 600L
        const val MIN_LATE_MILLIS = 1_000L
        const val MAX_LATE_MILLIS = 6_000L
        const val MIN_DOWN_MILLIS = 300L
        const val MAX_DOWN_MILLIS = 2_500L
        const val OTHERS_DARK_MILLIS = 500L
        const val MAX_CUT_MILLIS = 12_000L

        /** Longer than an owner may go on and a lease may last after that. */
        const val LONGEST_CUT_MILLIS = 20_000L
        const val MAX_FREEZE_MILLIS = 6_000L
        const val MAX_SUSPEND_MILLIS = 3_000L

        /** Longer than the owner's key lasts. */
        const val NEW_HOST_MILLIS = 3_000L
        const val SUSPENSION_INTERVAL_MILLIS = 5_000L
        const val FIRST_STOP_MILLIS = 2_000L
        const val STOP_INTERVAL_MILLIS = 2_000L
        const val RESTART_INTERVAL_MILLIS = 700L

        /** Longer than hosts take to notice that the owner's key is gone, and to claim it. */
        const val MAX_ELECTION_MILLIS = 100L

        /** Around the time after which a worker is taken for silent. */
        const val MIN_SILENT_MILLIS = 1_000L
        const val MAX_SILENT_MILLIS = 3_000L
        const val MIN_DRAIN_MILLIS = 2_000L

        /** Three heartbeats. */
        const val EXPIRY_MILLIS = 3_300L

        /** How long an owner and its links have to be sound before tasks are due. */
        const val IN_PLACE_MILLIS = 3_000L

        /**
         * A takeover, the time for which the old owner may go on, a lease and three seconds in
         * which calls fail and answers arrive.
         */
        val LOST_BOUND_MILLIS = ModelStore.LEASE_TTL_MILLIS +
            SchedulerSettings().lapsedBy(SchedulerSettings.PAST_LEASE_MILLIS) + IN_PLACE_MILLIS
        val QUEUE = QueuePolicy("queue", "service")
    }
}

private val WorkerOrder.mayGrantLease: Boolean
    get() = this is StartOrder || (this is PollOrder && leaseEndMillis != null)
