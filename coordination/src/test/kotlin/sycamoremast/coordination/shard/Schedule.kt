/** A seeded random schedule of faults on hosts, workers and the store, in virtual time. */
package sycamoremast.coordination.shard

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.PriorityQueue
import kotlin.random.Random
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.lease.LeaseTiming
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.record.JobState

internal class Schedule(
    val seed: Long,
    private val bugs: Set<PlantedBug> = emptySet(),
    chosenJobs: Map<JobKey, JobSpec>? = null,
    private val losesCalls: Boolean = true,
    private val maxStoreOutageMillis: Long = MAX_STORE_OUTAGE_MILLIS,
    private val injection: FaultInjection? = null,
    private val checkpointPeriodMillis: Long = checkpointPeriod(seed),
    private val faults: Schedule.() -> Unit = Schedule::injectRandomFaults
) {
    private val random = Random(seed)
    private val jobs = (chosenJobs ?: randomJobs()).toMutableMap()

    /** All configurations in order of their revisions, which start at 1. */
    private val configurations = ArrayList(listOf(jobs.toMap()))
    private val configurationRandom = Random(seed + CONFIGURATION_SEED)
    private val retainedEndedNames = configurationRandom.nextInt(2) * MANY_NAMES
    val checker: InvariantChecker = InvariantChecker(
        seed,
        { workers.values },
        { store.committed },
        jobs.filterValues { it.neverRepeat }.keys,
        { jobs.keys }
    )
    val store = SimulatedStore(checker, bugs)
    private val workers: Map<String, SimulatedWorker> = (1..3).map { newWorker("w$it") }
        .associateBy { it.name }
    val hosts = (1..2).map { Host("h$it") }
    private val queue = PriorityQueue<Timed>(compareBy<Timed>({ it.atMillis }, { it.order }))
    private var order = 0L
    private var now = 0L
    private var isStoreUp = true
    private val cutLinks = HashSet<Pair<String, String>>()
    private val storeCallFaults = HashMap<CallFault, Long>()
    private val failingWorkers = HashSet<String>()
    private var workScale = 1.0

    private class Timed(val atMillis: Long, val order: Long, val action: () -> Unit)

    /** An entry host with its own state machine and clock, which can be killed and paused. */
    inner class Host(val name: String) {
        private val rate = 1 + random.nextDouble(-DRIFT, DRIFT)
        private val offset = random.nextLong(1_000_000)
        private var incarnation = 0
        private var tickDueMillis = Long.MAX_VALUE
        private var machine = newMachine()
        var isAlive = true
        var isPaused = false
        private val inbox = ArrayDeque<ShardEvent>()
        val callFaults = HashMap<CallFault, Long>()

        private fun newMachine(): ShardMachine {
            incarnation++
            val margin = if (PlantedBug.MARGIN_OFF in bugs) 0 else MARGIN_MILLIS
            return ShardMachine(
                ShardSettings(
                    owner = name,
                    writer = "$name#$incarnation",
                    ownerTiming = LeaseTiming(OWNER_TTL_MILLIS, margin),
                    workerTiming = LeaseTiming(WORKER_TTL_MILLIS, margin),
                    heartbeatMillis = HEARTBEAT_MILLIS,
                    maxStoreOutageMillis = maxStoreOutageMillis,
                    checkpointPeriodMillis = checkpointPeriodMillis,
                    retainedEndedJobs = 0,
                    retainedEndedNames = retainedEndedNames
                )
            )
        }

        fun begin() {
            deliver(ShardEvent.WorkersListed(workers.keys.map(::listing)), incarnation)
            listJobs()
            tick(incarnation)
            poll(incarnation)
            listOwner(incarnation)
            watchOwner(incarnation, wasHeld = false)
        }

        private fun listOwner(ofIncarnation: Int) {
            if (ofIncarnation != incarnation) return
            if (isAlive) {
                onStore({ (store.owner(now) != null).right() }) { held ->
                    held.onRight { deliver(ShardEvent.OwnerSeen(it), ofIncarnation) }
                }
            }
            after(LIST_MILLIS) { listOwner(ofIncarnation) }
        }

        /** Delivers the deletion of the owner's key unless the store is down or the event lost. */
        private fun watchOwner(ofIncarnation: Int, wasHeld: Boolean) {
            if (ofIncarnation != incarnation) return
            val isHeld = store.owner(now) != null
            if (wasHeld && !isHeld && isAlive) {
                onStore({ Unit.right() }) { seen ->
                    seen.onRight { deliver(ShardEvent.OwnerSeen(isHeld = false), ofIncarnation) }
                }
            }
            after(WATCH_MILLIS) { watchOwner(ofIncarnation, isHeld) }
        }

        /** Delivers the newest configuration, or an earlier one now and the newest one later. */
        fun listJobs() {
            val newest = configurations.size
            val lag = if (losesCalls) configurationRandom.nextInt(newest) else 0
            listJobs(newest - lag)
            if (lag > 0) {
                val ofIncarnation = incarnation
                after(configurationRandom.nextLong(MAX_CONFIGURATION_LAG_MILLIS)) {
                    listJobs(newest, ofIncarnation)
                }
            }
        }

        /** Delivers the configuration at [revision]. */
        fun listJobs(revision: Int, ofIncarnation: Int = incarnation) {
            val listed = configurations[revision - 1].mapKeys { it.key.name }
            deliver(ShardEvent.JobsListed("team", revision.toLong(), listed), ofIncarnation)
        }

        val isOwner: Boolean get() = isAlive && machine.snapshot().isOwner

        private fun tick(ofIncarnation: Int) {
            tickDueMillis = Long.MAX_VALUE
            deliver(ShardEvent.Tick, ofIncarnation)
            scheduleTick(ofIncarnation)
        }

        /** Schedules the tick that the machine requests, like the loop of the daemon. */
        private fun scheduleTick(ofIncarnation: Int) {
            val local = offset + (now * rate).toLong()
            val wait = (machine.wakeMillis.coerceAtMost(local + HEARTBEAT_MILLIS) - local)
                .coerceAtLeast(ShardMachine.MIN_TICK_INTERVAL_MILLIS)
            if (ofIncarnation != incarnation || now + wait >= tickDueMillis) return
            val due = now + wait
            tickDueMillis = due
            after(wait) {
                if (ofIncarnation == incarnation && tickDueMillis == due) tick(ofIncarnation)
            }
        }

        private fun poll(ofIncarnation: Int) {
            deliver(ShardEvent.DocumentChanged, ofIncarnation)
            if (isOwner) onStep(Step.LEASE_HELD, this)
            if (ofIncarnation == incarnation) after(POLL_MILLIS) { poll(ofIncarnation) }
        }

        fun deliver(event: ShardEvent, ofIncarnation: Int = incarnation) {
            if (!isAlive || ofIncarnation != incarnation) return
            if (isPaused) {
                if (event != ShardEvent.Tick) inbox += event
                return
            }
            val local = offset + (now * rate).toLong()
            val sender = incarnation
            for (action in machine.handle(event, local)) execute(action, sender)
            if (event != ShardEvent.Tick) scheduleTick(sender)
        }

        fun resume() {
            isPaused = false
            while (isAlive && inbox.isNotEmpty()) deliver(inbox.removeFirst())
        }

        fun restart() {
            inbox.clear()
            isAlive = true
            isPaused = false
            machine = newMachine()
            tickDueMillis = Long.MAX_VALUE
            begin()
        }

        private fun execute(action: ShardAction, ofIncarnation: Int) {
            val answer = { event: ShardEvent -> deliver(event, ofIncarnation) }
            stepOf(action)?.let { onStep(it, this) }
            when (action) {
                is ShardAction.GrantLease -> onStore(
                    { store.grant(now, OWNER_TTL_MILLIS).right() },
                    { answer(ShardEvent.LeaseGranted(action.call, it)) }
                )

                is ShardAction.KeepLease -> onStore(
                    { store.keepAlive(action.lease, now, OWNER_TTL_MILLIS).right() },
                    { answer(ShardEvent.LeaseKept(action.call, it)) }
                )

                is ShardAction.RevokeLease ->
                    onStore({ store.revoke(action.lease).right() }, { })

                is ShardAction.ReadOwner -> onStore(
                    { store.owner(now).right() },
                    { answer(ShardEvent.OwnerRead(action.call, it)) }
                )

                is ShardAction.ClaimOwner -> onStore(
                    { store.claimOwner(action.lease, action.owner, now) },
                    { answer(ShardEvent.OwnerClaimed(action.call, it)) }
                )

                is ShardAction.ReadDocument -> onStore(
                    { store.documentEntry.right() },
                    { answer(ShardEvent.DocumentRead(action.call, it)) }
                )

                is ShardAction.WriteDocument -> onStore(
                    { store.writeDocument(expected(action), action.text).right() },
                    { answer(ShardEvent.DocumentWritten(action.call, readBack(it, action))) }
                )

                is ShardAction.Renew -> onWorker(
                    action.worker,
                    { renew(action.renewal, now) },
                    { answer(ShardEvent.Renewed(action.worker, action.call, it)) }
                )

                is ShardAction.Start -> {
                    checkStart(action)
                    onWorker(
                        action.worker,
                        { start(action.order, now) },
                        { answer(ShardEvent.Started(action.worker, action.order, startResult(it))) }
                    )
                }

                is ShardAction.Control -> onWorker(
                    action.worker,
                    { control(action.taskId, action.epoch, action.action, now) },
                    {
                        val id = action.taskId
                        val name = action.worker
                        answer(ShardEvent.Controlled(name, id, action.epoch, action.action, it))
                    }
                )

                is ShardAction.ReportUnknown -> reported += action.subject

                is ShardAction.Note -> Unit
            }
        }

        private fun stepOf(action: ShardAction): Step? = when (action) {
            is ShardAction.GrantLease, is ShardAction.ClaimOwner -> Step.LEASE_GRANTING

            is ShardAction.KeepLease -> Step.LEASE_RENEWING

            is ShardAction.RevokeLease -> Step.LEASE_RELEASING

            is ShardAction.Start -> Step.TASK_PLACING

            is ShardAction.Renew -> Step.TASK_RUNNING.takeIf {
                workers.getValue(action.worker).running(now).isNotEmpty()
            }

            is ShardAction.Control -> Step.TASK_EVICTING.takeIf {
                action.action == TaskAction.STOP
            }

            is ShardAction.WriteDocument -> store.stepOf(action.text)

            else -> null
        }

        private fun checkStart(action: ShardAction.Start) {
            val key = JobKey.parseTaskIdOrNull(action.order.taskId)?.first
            val record = key?.let { machine.snapshot().document.job(it) }
            checker.require(record?.state == JobState.ACCEPTED) {
                "$name starts ${action.order.taskId}, whose job is ${record?.state}"
            }
        }

        private fun <T> onWorker(
            worker: String,
            call: SimulatedWorker.() -> Either<WorkerError, T>,
            answer: (Either<WorkerError, T>) -> Unit
        ) {
            val target = workers.getValue(worker)
            exchange(
                { target.isUp && (name to worker) !in cutLinks },
                { target.call() },
                { WorkerError.NotSent("call", worker, "no connection").left() },
                { WorkerError.AnswerLost("call", worker, "timeout").left() },
                callFaults,
                answer
            )
        }
    }

    /** The tasks whose outcome was reported as unknown. */
    val reported = HashSet<String>()

    /** Returns the never-repeated tasks, grouped by whether their recorded outcome was missed. */
    fun neverRepeated(): Map<Boolean, List<String>> = jobs.filterValues { it.neverRepeat }.keys
        .mapNotNull { checker.recordOf(it) }
        .flatMap { record -> (0 until record.tasks).map { record to it } }
        .groupBy({ (record, i) -> record.isMissed(i) }, { (record, i) -> record.key.taskId(i) })

    private fun JobRecord.isMissed(index: Int): Boolean {
        val isDropped = state == JobState.CANCELLED || state == JobState.FAILED
        return index in unknown || (!isDropped && index !in finished)
    }

    /** Returns the urgent tasks of finished jobs that no worker had started by [atMillis]. */
    fun lateUrgentTasks(atMillis: Long): List<String> = jobs.filterValues { it.urgent }.keys
        .mapNotNull { checker.recordOf(it) }
        .filter { it.state == JobState.FINISHED }
        .flatMap { record -> (0 until record.tasks).map { record.key.taskId(it) } }
        .filter { (checker.startedMillis[it] ?: Long.MAX_VALUE) > atMillis }

    /** The number of times a host has taken the shard over. */
    val takeOvers: Long get() = store.committed.epoch
    var workerCrashes = 0
        private set

    /** Runs the schedule; throws [InvariantViolation] if an invariant is violated. */
    fun run() {
        hosts.forEach { it.begin() }
        faults()
        after(FAULTS_END_MILLIS) { endFaults() }
        val keys = jobs.keys
        while (queue.isNotEmpty() && now < END_MILLIS) {
            val next = queue.remove()
            now = next.atMillis
            next.action()
            if (now > FAULTS_END_MILLIS + OWNER_TTL_MILLIS && isDone()) break
        }
        checker.atEnd(keys, now)
    }

    private fun isDone() = jobs.keys.all { (checker.stateOf(it) ?: ACTIVE) != ACTIVE } &&
        workers.values.all { it.running(now).isEmpty() }

    private fun randomJobs(): Map<JobKey, JobSpec> = (1..random.nextInt(2, 4)).associate {
        JobKey("team", "job$it") to JobSpec(
            tasks = random.nextInt(1, 6),
            resources = Resources(random.nextLong(1, 4) * 1_000, random.nextLong(1, 4) * 1_000),
            expectedMillis = random.nextLong(100, 5_000),
            neverRepeat = random.nextInt(4) == 0,
            urgent = random.nextInt(4) == 0
        )
    }

    private fun newWorker(name: String) = SimulatedWorker(
        name = name,
        capacity = Resources(4_000, 4_000),
        rate = 1 + random.nextDouble(-DRIFT, DRIFT),
        stopMillis = random.nextLong(1, 1_500),
        bugs = bugs,
        checker = checker,
        fails = {
            name in failingWorkers ||
                (
                    losesCalls &&
                        Random(seed + it.taskId.hashCode() + it.attempt)
                            .nextInt(FAILURE_ODDS) == 0
                    )
        },
        scale = { workScale }
    )

    private fun listing(name: String) =
        ListedHost(name, "127.0.0.1:1", "Gauja", "rack", HostRole.WORKER, HostState.LIVE)

    private fun after(millis: Long, action: () -> Unit) {
        queue += Timed(now + millis, order++, action)
    }

    // Calls

    private fun <T> onStore(
        call: () -> Either<StoreError, T>,
        answer: (Either<StoreError, T>) -> Unit
    ) = exchange(
        { isStoreUp },
        call,
        { StoreError.NotSent("call", "store", "no connection").left() },
        { StoreError.AnswerLost("call", "store", "timeout").left() },
        storeCallFaults,
        answer
    )

    private fun <T> exchange(
        isReachable: () -> Boolean,
        call: () -> T,
        notSent: () -> T,
        lost: () -> T,
        callFaults: Map<CallFault, Long>,
        answer: (T) -> Unit
    ) {
        val callFault = callFaults.entries.firstOrNull { now < it.value }?.key
        val isSlow = callFault == CallFault.SLOW
        val delay = if (isSlow) random.nextLong(200, 700) else random.nextLong(1, 5)
        val isLossy = losesCalls && now < FAULTS_END_MILLIS
        val roll = rollOf(callFault) ?: if (isLossy) random.nextInt(100) else 100
        when {
            roll < 2 -> after(delay) { answer(notSent()) }

            roll < 4 -> after(TIMEOUT_MILLIS) { answer(lost()) }

            roll < 6 -> {
                after(random.nextLong(TIMEOUT_MILLIS, MAX_LATE_DELIVERY_MILLIS)) {
                    if (isReachable()) call()
                }
                after(TIMEOUT_MILLIS) { answer(lost()) }
            }

            roll < 8 -> {
                after(delay) { if (isReachable()) call() }
                after(TIMEOUT_MILLIS) { answer(lost()) }
            }

            else -> after(if (roll < 12) random.nextLong(TIMEOUT_MILLIS / 2) else delay) {
                if (isReachable()) {
                    val result = call()
                    after(random.nextLong(1, 5)) { answer(result) }
                } else {
                    after(TIMEOUT_MILLIS / 2) { answer(lost()) }
                }
            }
        }
    }

    private fun rollOf(callFault: CallFault?): Int? = when (callFault) {
        CallFault.ANSWERS_LOST -> ROLL_ANSWER_LOST
        CallFault.RESET -> if (random.nextBoolean()) ROLL_ANSWER_LOST else ROLL_NOT_SENT
        CallFault.SLOW, null -> null
    }

    private fun readBack(
        result: Either<StoreError, SwapOutcome>,
        action: ShardAction.WriteDocument
    ): Either<StoreError, SwapOutcome> {
        val isLost = result is Either.Left && result.value is StoreError.AnswerLost
        if (PlantedBug.READ_BACK_OFF !in bugs || !isLost) return result
        return SwapOutcome.Applied(store.documentEntry?.version ?: action.expected).right()
    }

    private fun expected(action: ShardAction.WriteDocument) =
        if (PlantedBug.VERSION_IGNORED in bugs) store.version else action.expected

    private fun <T> startResult(result: Either<WorkerError, T>) = result.mapLeft {
        val isHidden = PlantedBug.START_TAKEN_AS_NOT_SENT in bugs && it is WorkerError.AnswerLost
        if (isHidden) WorkerError.NotSent(it.step, it.peer, "planted") else it
    }

    // Faults

    fun injectRandomFaults() {
        repeat(random.nextInt(1, 7)) {
            after(random.nextLong(FAULTS_END_MILLIS)) { injectRandomFault(random.nextInt(7)) }
        }
        repeat(configurationRandom.nextInt(MAX_CONFIGURATION_CHANGES)) {
            after(configurationRandom.nextLong(FAULTS_END_MILLIS)) { changeConfiguration() }
        }
    }

    /** Removes an ended job from the configuration, or lists one again whose name is retained. */
    private fun changeConfiguration() {
        val newest = configurations.last()
        val ended = jobs.filterKeys { (checker.stateOf(it) ?: ACTIVE) != ACTIVE }
        val (listed, dropped) = ended.entries.partition { it.key in newest }
        val isReturn = retainedEndedNames > 0 && configurationRandom.nextBoolean()
        val job = (if (isReturn) dropped else listed).randomOrNull(configurationRandom) ?: return
        configurations += if (isReturn) newest + job.toPair() else newest - job.key
        hosts.forEach { it.listJobs() }
    }

    /** Adds [job] at [atMillis] by a configuration that is delivered to every host. */
    fun submitAt(atMillis: Long, key: JobKey, job: JobSpec) = after(atMillis) {
        jobs[key] = job
        configurations += configurations.last() + (key to job)
        hosts.forEach { it.listJobs(configurations.size) }
    }

    /** Kills the owner's process at [atMillis]. */
    fun killOwnerAt(atMillis: Long) = after(atMillis) {
        hosts.filter { it.isOwner }.forEach { it.isAlive = false }
    }

    /** Kills the process of one host that is not the owner at [atMillis]. */
    fun killStandbyAt(atMillis: Long) = after(atMillis) {
        hosts.first { !it.isOwner }.isAlive = false
    }

    /** Makes another host the preferred owner at [atMillis] and requests a hand-over. */
    fun handOverAt(atMillis: Long) = after(atMillis) {
        val owner = hosts.firstOrNull { it.isOwner } ?: return@after
        val successor = hosts.first { it != owner }
        prefer(successor, owner)
        handedTo = successor.name
        owner.deliver(ShardEvent.HandOverRequested)
        countOwnerless(now + OWNERLESS_OBSERVATION_MILLIS)
    }

    /** The host that the shard was last handed over to. */
    var handedTo: String? = null
        private set

    /** Makes the current owner the preferred one at [atMillis]. */
    fun preferOwnerAt(atMillis: Long) = after(atMillis) {
        val owner = hosts.firstOrNull { it.isOwner } ?: return@after
        prefer(owner, hosts.first { it != owner })
    }

    private fun prefer(first: Host, second: Host) {
        val event = ShardEvent.PreferenceListed(Preference(first.name, second.name))
        hosts.forEach { it.deliver(event) }
    }

    /** The time without an owner after requested hand-overs. */
    var ownerlessMillis = 0L
        private set

    private fun countOwnerless(untilMillis: Long) {
        if (hosts.none { it.isOwner }) ownerlessMillis += OWNERLESS_POLL_MILLIS
        if (now < untilMillis) after(OWNERLESS_POLL_MILLIS) { countOwnerless(untilMillis) }
    }

    /** Crashes every worker at [atMillis]. */
    fun crashWorkersAt(atMillis: Long) =
        after(atMillis) { workers.values.forEach { it.crash(now) } }

    /** Disconnects every host from the store at [atMillis] for [spanMillis]. */
    fun disconnectStoreAt(atMillis: Long, spanMillis: Long) = after(atMillis) {
        isStoreUp = false
        after(spanMillis) { isStoreUp = true }
    }

    /** Returns the number of starts of the task [taskId]. */
    fun runs(taskId: String): Int = checker.runs[taskId] ?: 0

    /** Returns when the task [taskId] was first started, or null if it never was. */
    fun startedMillis(taskId: String): Long? = checker.startedMillis[taskId]

    /** Makes the owner release the shard at [atMillis] and restarts its host after a delay. */
    fun releaseOwnerAt(atMillis: Long) = after(atMillis) {
        hosts.firstOrNull { it.isOwner }?.let(::stopGracefully)
    }

    private fun stopGracefully(host: Host) {
        host.deliver(ShardEvent.ReleaseRequested)
        after(RELEASE_MILLIS) { host.restart() }
    }

    private fun onStep(step: Step, host: Host) {
        if (injection == null || now >= FAULTS_END_MILLIS || !injection.fireAt(step)) return
        after(0) { injection.faults.forEach { inject(it, host) } }
    }

    private fun inject(fault: StepFault, host: Host) {
        val span = random.nextLong(OWNER_TTL_MILLIS + 500, MAX_FAULT_MILLIS)
        injectProcessFault(fault, host, span)
        injectCallFault(fault, host, span)
        injectWorkFault(fault, host)
    }

    private fun injectProcessFault(fault: StepFault, host: Host, span: Long) = when (fault) {
        StepFault.KILL -> {
            host.isAlive = false
            after(span) { if (!host.isAlive) host.restart() }
        }

        StepFault.FREEZE -> hosts.forEach {
            pause(it, random.nextLong(100, OWNER_TTL_MILLIS - 500))
        }

        StepFault.LEASE_LAPSED_IN_PAUSE -> pause(host, span)

        StepFault.PLANNED_STOP -> stopGracefully(host)

        else -> Unit
    }

    private fun injectCallFault(fault: StepFault, host: Host, span: Long) {
        when (fault) {
            StepFault.CUT_BOTH_WAYS -> {
                val links = workers.keys.map { host.name to it }.toSet()
                cutLinks += links
                after(span) { cutLinks -= links }
            }

            StepFault.CUT_ONE_WAY -> host.callFaults[CallFault.ANSWERS_LOST] = now + span

            StepFault.SLOW -> host.callFaults[CallFault.SLOW] = now + span

            StepFault.RESET -> host.callFaults[CallFault.RESET] = now + RESET_MILLIS

            StepFault.STORE_DOWN -> {
                isStoreUp = false
                after(span) { isStoreUp = true }
            }

            StepFault.STORE_SLOW -> storeCallFaults[CallFault.SLOW] = now + span

            StepFault.ANSWER_LOST -> storeCallFaults[CallFault.ANSWERS_LOST] = now + RESET_MILLIS

            else -> Unit
        }
    }

    private fun injectWorkFault(fault: StepFault, host: Host) {
        when (fault) {
            StepFault.OPERATOR_RACE -> {
                cancelAtOwner()
                cancelInDocument()
                repeat(2) { configurations += configurations.last() }
                val newest = configurations.size
                host.listJobs(newest)
                after(STALE_CONFIGURATION_DELAY_MILLIS) {
                    hosts.forEach { it.listJobs(newest - 1) }
                }
            }

            StepFault.WRONG_SIZES -> workScale = if (random.nextBoolean()) 3.0 else 0.3

            StepFault.CANCELLATION_WAVE -> jobs.forEach { (key, spec) ->
                hosts.forEach { it.deliver(ShardEvent.CancelRequested(key, spec.tasks, "wave")) }
            }

            StepFault.WORKER_FAILING -> failingWorkers += workers.keys.random(random)

            else -> Unit
        }
    }

    private fun pause(host: Host, spanMillis: Long) {
        host.isPaused = true
        after(spanMillis) { host.resume() }
    }

    /** Returns the progress from which the task [taskId] was last resumed, or null if never. */
    fun resumedFromMillis(taskId: String): Long? = checker.resumedFromMillis[taskId]

    private fun injectRandomFault(kind: Int) {
        val host = hosts.random(random)
        val worker = workers.values.random(random)
        val span = random.nextLong(100, MAX_FAULT_MILLIS)
        when (kind) {
            0 -> if (host.isAlive) {
                host.isAlive = false
                after(span) { if (!host.isAlive) host.restart() }
            }

            1 -> pause(host, span)

            2 -> if (worker.isUp) {
                worker.crash(now)
                workerCrashes++
                after(span) { if (!worker.isUp) worker.restart(now) }
            }

            3 -> {
                isStoreUp = false
                after(span) { isStoreUp = true }
            }

            4 -> {
                val link = host.name to worker.name
                cutLinks += link
                after(span) { cutLinks -= link }
            }

            5 -> cancelAtOwner()

            6 -> cancelInDocument()
        }
    }

    private fun cancelAtOwner() {
        val (key, spec) = jobs.entries.random(random)
        if (key !in configurations.last()) return
        hosts.forEach { it.deliver(ShardEvent.CancelRequested(key, spec.tasks, "test")) }
    }

    private fun cancelInDocument() {
        val (key, spec) = jobs.entries.random(random)
        if (key !in configurations.last()) return
        val change = DocumentChange.CancelJob(key, spec.tasks, "test")
        val next = store.committed.with(listOf(change), "editor", now)
        store.writeDocument(store.version, next.print())
    }

    private fun endFaults() {
        isStoreUp = true
        cutLinks.clear()
        hosts.filter { !it.isAlive }.forEach { it.restart() }
        hosts.filter { it.isPaused }.forEach { it.resume() }
        workers.values.filter { !it.isUp }.forEach { it.restart(now) }
    }

    companion object {
        private val ACTIVE = JobState.ACCEPTED
        private const val DRIFT = 0.02
        private const val MARGIN_MILLIS = 150L
        private const val OWNER_TTL_MILLIS = 2_000L
        private const val WORKER_TTL_MILLIS = 2_000L
        private const val HEARTBEAT_MILLIS = 500L
        private const val CHECKPOINT_ODDS = 4
        private const val NO_CHECKPOINTS_MILLIS = 600_000L

        /** The period of checkpoint records in the schedules that have them, one in four. */
        const val CHECKPOINT_PERIOD_MILLIS = 600L

        /** Only some schedules record checkpoints, as shorter runs are hit by fewer faults. */
        private fun checkpointPeriod(seed: Long) =
            if (seed % CHECKPOINT_ODDS == 0L) CHECKPOINT_PERIOD_MILLIS else NO_CHECKPOINTS_MILLIS

        private const val MAX_STORE_OUTAGE_MILLIS = 10_000L
        private const val POLL_MILLIS = 1_000L
        private const val LIST_MILLIS = OWNER_TTL_MILLIS * 2 / 3
        private const val WATCH_MILLIS = 20L
        private const val TIMEOUT_MILLIS = 800L
        private const val MAX_LATE_DELIVERY_MILLIS = 6_000L
        private const val MAX_FAULT_MILLIS = 6_000L
        private const val FAILURE_ODDS = 30
        private const val CONFIGURATION_SEED = 1_000_003L
        private const val MANY_NAMES = 1_000
        private const val MAX_CONFIGURATION_CHANGES = 6
        private const val MAX_CONFIGURATION_LAG_MILLIS = 8_000L
        private const val OWNERLESS_POLL_MILLIS = 5L
        private const val OWNERLESS_OBSERVATION_MILLIS = 4_000L
        private const val ROLL_NOT_SENT = 1
        private const val ROLL_ANSWER_LOST = 7
        private const val STALE_CONFIGURATION_DELAY_MILLIS = 50L
        private const val RESET_MILLIS = 400L
        private const val RELEASE_MILLIS = 3_000L

        /** The time at which all faults end; afterwards every job must reach a final state. */
        private const val FAULTS_END_MILLIS = 15_000L
        private const val END_MILLIS = 120_000L
    }
}
