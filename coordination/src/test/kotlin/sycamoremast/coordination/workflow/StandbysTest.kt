package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.Resources

class StandbysTest {
    /**
     * What the owner does at a time; [polls] are those sent then, after the heartbeat known to count
     * that was formed at [knownMillis].
     */
    private class Moment(
        val millis: Long,
        val knownMillis: Long,
        val announced: List<SchedulerAction.Announce>,
        val rosters: List<RecordBatch>,
        val polls: List<PollOrder>,
        val events: List<SchedulerEvent>
    )

    private val driver = SchedulerDriver()
    private val scheduler get() = driver.scheduler
    private val settings = SchedulerSettings()

    /** The rows of the long-running tasks in reports, by worker, once they run. */
    private val rows = HashMap<String, RunningRow>()

    /** Whether workers answer no polls. */
    private var areWorkersSilent = false

    /** The workers that never answer. */
    private val silentWorkers = HashSet<String>()

    private var own = "h1"

    /** The hosts that acknowledge announcements. */
    private val answering = HashSet<String>()

    /** Those of them that don't know of limits. */
    private val ignoringLimits = HashSet<String>()

    /** When the last heartbeat was formed that became durable at once. */
    private var durableMillis = 0L

    private fun inherit(vararg standbys: String) = scheduler.succession.addRoster(
        RosterRecord(emptyList(), standbys = processes(*standbys)),
        StoreSightings(driver.now, process = HostProcess("h1")),
        lastHeartbeat = null,
        driver.now
    )

    private fun processes(vararg names: String) = names.mapTo(HashSet()) { HostProcess(it) }

    private fun register(vararg names: String, own: String = "h1") =
        scheduler.succession.onHostsRegistered(HostProcess(own), processes(*names), driver.now)

    /** Lets [millis] pass, in which workers answer no polls. */
    private fun playInSilence(millis: Long): List<Moment> {
        areWorkersSilent = true
        return play(millis).also { areWorkersSilent = false }
    }

    /** Lets [millis] pass, in which workers answer all polls. */
    private fun play(millis: Long): List<Moment> = buildList {
        val until = driver.now + millis
        while (driver.now < until) add(step())
    }

    private fun step(): Moment {
        val before = driver.polls.toSet()
        val actions = driver.step(STEP_MILLIS).toList()
        val now = driver.now
        val known = maxOf(durableMillis, scheduler.succession.confirmedMillis ?: durableMillis)
        val batches = actions.filterIsInstance<SchedulerAction.Record>().map { it.batch }
        if (driver.areRecordsDurableAtOnce && batches.any { it.isHeartbeat }) durableMillis = now
        val polls = driver.polls.filter { it !in before }
        driver.polls.forEach {
            if (areWorkersSilent || it.worker.id in silentWorkers) {
                driver.answer(it, WorkerAnswer.Unknown("timeout"))
            } else {
                driver.report(it, listOfNotNull(rows[it.worker.id]))
            }
        }
        val announced = actions.filterIsInstance<SchedulerAction.Announce>()
        for (heartbeat in announced) {
            acknowledge(own, heartbeat)
            (heartbeat.names intersect answering).forEach { acknowledge(it, heartbeat) }
        }
        return Moment(
            now,
            known,
            announced,
            batches.filter { it.roster != null },
            polls,
            actions.filterIsInstance<SchedulerAction.Log>().map { it.event }
        )
    }

    private fun acknowledge(name: String, heartbeat: SchedulerAction.Announce) =
        scheduler.succession.onHeartbeatAcknowledged(
            HostProcess(name),
            heartbeat.number,
            name !in ignoringLimits,
            driver.now
        )

    private fun end(name: String, lastEpoch: Long = 1) =
        scheduler.succession.onStandbyEnded(HostProcess(name), lastEpoch)

    /**
     * Registers [hosts], of which [own] is the owner, and starts a long-running task on each of
     * [workers] workers: w1, w2 and so on.
     */
    private fun begin(vararg hosts: String, own: String = "h1", workers: Int = 1) {
        this.own = own
        if (hosts.isNotEmpty()) register(*hosts, own = own)
        startTasks(workers)
    }

    private fun startTasks(count: Int) {
        driver.listWorkers(*Array(count) { "w${it + 1}" })
        val step = driver.taskStep(count)
            .copy(demand = Resources(32_000, 1_000), isLongRunning = true)
        driver.submit(driver.workflow("job", step))
        repeat(20) {
            driver.step()
            for (order in driver.starts) {
                driver.confirmStart(order)
                rows[order.worker.id] =
                    RunningRow(order.task, order.run, "", percent = 100, null)
            }
            driver.polls.forEach { driver.report(it, listOfNotNull(rows[it.worker.id])) }
            if (rows.size == count) {
                play(2_000)
                return
            }
        }
        error("the tasks never start")
    }

    /** From now on nothing becomes durable; [hosts] acknowledge announcements. */
    private fun loseStore(vararg hosts: String) {
        driver.areRecordsDurableAtOnce = false
        driver.isSoleOwner = false
        answering += hosts
    }

    private val SchedulerAction.Announce.names get() = standbys.map { it.text }.toSet()
    private val List<Moment>.announced get() = flatMap { it.announced }
    private val List<Moment>.polls get() = flatMap { it.polls }
    private val List<Moment>.rosters get() = flatMap { it.rosters }

    /** The names in each roster. */
    private val List<Moment>.recorded
        get() = rosters.map { batch -> batch.standbys.map { it.text }.toSet() }

    private fun List<Moment>.events(name: String) = flatMap { it.events }.filter { it.name == name }

    /** Returns the lease ends that polls grant from [millis] after the last durable heartbeat. */
    private fun List<Moment>.leaseEndsAfter(millis: Long) =
        polls.filter { it.sentMillis >= durableMillis + millis }.map { it.leaseEndMillis }

    @Test
    fun `names all registered hosts in the roster`() {
        register("h1", "h2", "h3")
        driver.scheduler.onWorkersListed(listOf(driver.listing("w1")), driver.now)
        expectThat(play(1_000).recorded.last()).isEqualTo(setOf("h1", "h2", "h3"))
    }

    @Test
    fun `announces nothing while heartbeats become durable`() {
        begin("h1", "h2", "h3")
        expectThat(play(40_000).announced).isEmpty()
        expectThat(scheduler.succession.confirmedMillis).isNull()
    }

    @Test
    fun `announces a heartbeat each 600 ms once none has been durable for 1200 ms`() {
        begin("h1", "h2", "h3")
        loseStore()
        val moments = play(5_000).filter { it.announced.isNotEmpty() }
        expectThat(moments.first().millis).isEqualTo(durableMillis + 1_200)
        expectThat(moments.zipWithNext { a, b -> b.millis - a.millis }).isNotEmpty().all {
            isEqualTo(600)
        }
        val announced = moments.announced
        expectThat(announced).all { get { epoch }.isEqualTo(1) }
        expectThat(announced).all { get { names }.isEqualTo(setOf("h2", "h3")) }
        expectThat(announced.map { it.number }).isEqualTo(announced.indices.map { it + 1L })
    }

    @Test
    fun `announces nothing once heartbeats become durable again`() {
        begin("h1", "h2")
        loseStore("h2")
        expectThat(play(5_000).announced).isNotEmpty()
        scheduler.onBatchDurable()
        driver.areRecordsDurableAtOnce = true
        play(100)
        expectThat(play(5_000).announced).isEmpty()
    }

    @Test
    fun `announces nothing if this host is not registered`() {
        begin("h2", "h3")
        loseStore("h2", "h3")
        val moments = play(10_000)
        expectThat(moments.announced).isEmpty()
        expectThat(moments.leaseEndsAfter(settings.leaseHorizonMillis)).isNotEmpty()
            .all { isNull() }
    }

    @Test
    fun `announces nothing if the roster names no standbys`() {
        begin()
        loseStore("h2")
        register("h1", "h2")
        val moments = play(10_000)
        expectThat(moments.announced).isEmpty()
        expectThat(moments.leaseEndsAfter(settings.leaseHorizonMillis)).isNotEmpty()
            .all { isNull() }
    }

    // Guards against an owner that relies on a roster which was written, but isn't durable.
    @Test
    fun `announces nothing while the roster that names standbys is not durable`() {
        begin()
        driver.areRecordsDurableAtOnce = false
        register("h1", "h2")
        answering += "h2"
        val moments = play(10_000)
        expectThat(moments.recorded).isEqualTo(listOf(setOf("h1", "h2")))
        expectThat(moments.announced).isEmpty()
    }

    @Test
    fun `grants leases while all standbys acknowledge`() {
        begin("h1", "h2", "h3")
        loseStore("h2", "h3")
        val moments = play(25_000).filter { it.millis > durableMillis + 2_000 }
        expectThat(moments.polls.last().sentMillis).isGreaterThan(durableMillis + 20_000)
        // The worker's clock was read a step ago.
        val full = settings.leaseMillis - settings.maxDrift(STEP_MILLIS)
        expectThat(moments).all { get { millis - knownMillis }.isLessThan(1_000) }
        val (ends, expected) = moments.flatMap { moment ->
            val latest = moment.knownMillis + settings.leaseHorizonMillis
            moment.polls.map { it.leaseEndMillis to minOf(it.sentMillis + full, latest) }
        }.unzip()
        expectThat(ends).isEqualTo(expected)
        expectThat(scheduler.succession.confirmedMillis).isNotNull().isGreaterThan(
            driver.now - 1_000
        )
    }

    // Guards against leases that a successor can't know of which has reached most workers (TWICE).
    @Test
    fun `grants no lease past the last durable heartbeat's without a majority of the workers`() {
        begin("h1", "h2", "h3", workers = 4)
        loseStore("h2", "h3")
        silentWorkers += setOf("w1", "w2")
        val moments = play(15_000)
        expectThat(moments.leaseEndsAfter(settings.leaseHorizonMillis)).isNotEmpty()
            .all { isNull() }
        expectThat(scheduler.succession.confirmedMillis).isNull()
    }

    @Test
    fun `grants leases with a majority of the workers, also if most of these are idle`() {
        begin("h1", "h2", "h3")
        driver.listWorkers("w1", "x1", "x2", "x3", "x4")
        play(2_000)
        loseStore("h2", "h3")
        silentWorkers += setOf("x1", "x2")
        val polls = play(25_000).polls.filter { it.worker.id == "w1" }
        expectThat(polls.filter { it.sentMillis > durableMillis + 20_000 }).isNotEmpty().all {
            get { leaseEndMillis }.isNotNull()
        }
    }

    @Test
    fun `grants no lease past the last durable heartbeat's while one standby is silent`() {
        begin("h1", "h2", "h3")
        loseStore("h2")
        val moments = play(15_000)
        val lastEnd = durableMillis + settings.leaseHorizonMillis
        expectThat(moments.polls.mapNotNull { it.leaseEndMillis }).isNotEmpty()
            .all { isLessThanOrEqualTo(lastEnd) }
        expectThat(moments.leaseEndsAfter(settings.leaseHorizonMillis)).isNotEmpty()
            .all { isNull() }
        expectThat(scheduler.succession.confirmedMillis).isNull()
    }

    @Test
    fun `grants no lease past the last confirmed heartbeat's once a standby becomes silent`() {
        begin("h1", "h2", "h3")
        loseStore("h2", "h3")
        play(10_000)
        answering -= "h3"
        val confirmed = checkNotNull(scheduler.succession.confirmedMillis)
        val moments = play(12_000)
        expectThat(scheduler.succession.confirmedMillis).isEqualTo(confirmed)
        expectThat(moments.polls.mapNotNull { it.leaseEndMillis }).isNotEmpty()
            .all { isLessThanOrEqualTo(confirmed + settings.leaseHorizonMillis) }
        expectThat(moments.last { it.polls.isNotEmpty() }.polls.map { it.leaseEndMillis })
            .all { isNull() }
    }

    @Test
    fun `counts from the heartbeat that the last standby has acknowledged`() {
        begin("h1", "h2", "h3")
        loseStore("h2")
        val moments = play(5_000).filter { it.announced.isNotEmpty() }
        acknowledge("h3", moments[1].announced.single())
        expectThat(scheduler.succession.confirmedMillis).isEqualTo(moments[1].millis)
        acknowledge("h3", moments[0].announced.single())
        expectThat(scheduler.succession.confirmedMillis).isEqualTo(moments[1].millis)
    }

    @Test
    fun `needs the acknowledgement of a host that registers in an outage`() {
        begin("h1", "h2")
        loseStore("h2")
        play(5_000)
        register("h1", "h2", "h3")
        val confirmed = checkNotNull(scheduler.succession.confirmedMillis)
        val moments = play(5_000)
        expectThat(moments.announced).all { get { names }.isEqualTo(setOf("h2", "h3")) }
        expectThat(scheduler.succession.confirmedMillis).isEqualTo(confirmed)
        answering += "h3"
        play(1_000)
        expectThat(
            scheduler.succession.confirmedMillis
        ).isNotNull().isGreaterThan(confirmed + 5_000)
    }

    // Guards against an owner that no longer needs a host which the durable roster names.
    @Test
    fun `needs a host of the durable roster whose entry is gone for however long`() {
        begin("h1", "h2", "h3")
        loseStore("h2")
        register("h1", "h2")
        val moments = play(25_000)
        expectThat(moments.announced).isNotEmpty().all {
            get { names }.isEqualTo(setOf("h2", "h3"))
        }
        expectThat(scheduler.succession.confirmedMillis).isNull()
    }

    // Guards against an owner that doesn't need the hosts of a roster which may be durable.
    @Test
    fun `needs the hosts of a roster in flight`() {
        begin("h1", "h2")
        register("h1", "h2", "h3")
        loseStore("h2")
        expectThat(play(500).recorded).isEqualTo(listOf(setOf("h1", "h2", "h3")))
        register("h1", "h2")
        val moments = play(25_000)
        expectThat(moments.announced).isNotEmpty().all { get { names }.contains("h3") }
        expectThat(scheduler.succession.confirmedMillis).isNull()
    }

    // Guards against leases that end as a standby is stopped in an outage (LOST, issue 49).
    @Test
    fun `grants leases without the acknowledgement of a standby that has ended`() {
        begin("h1/a", "h2/a", "h3/a", own = "h1/a")
        loseStore("h2/a", "h3/a")
        play(3_000)
        answering -= "h3/a"
        end("h3/a")
        val moments = play(15_000)
        expectThat(moments.leaseEndsAfter(10_000)).isNotEmpty().all { isNotNull() }
        expectThat(moments.announced).all { get { names }.isEqualTo(setOf("h2/a")) }
        expectThat(moments.events("standbys-silent")).isEmpty()
    }

    // Guards against leases past what an owner assumes that the standby has answered (TWICE).
    @Test
    fun `needs a standby that ends and knows of a later owner`() {
        begin("h1/a", "h2/a", "h3/a", own = "h1/a")
        loseStore("h2/a")
        end("h3/a", lastEpoch = 2)
        val moments = play(15_000)
        expectThat(moments.announced).isNotEmpty().all { get { names }.contains("h3/a") }
        expectThat(scheduler.succession.confirmedMillis).isNull()
    }

    // Guards against leases that end as a standby has restarted before an outage (LOST, issue 49).
    @Test
    fun `needs the new process of a host in place of the one that the roster names`() {
        begin("h1/a", "h2/a", own = "h1/a")
        loseStore("h2/b")
        register("h1/a", "h2/b", own = "h1/a")
        play(3_000)
        val moments = play(15_000)
        expectThat(moments.announced).isNotEmpty().all { get { names }.isEqualTo(setOf("h2/b")) }
        expectThat(moments.leaseEndsAfter(10_000)).isNotEmpty().all { isNotNull() }
    }

    // Guards against a late message that takes a live standby for ended (TWICE).
    @Test
    fun `needs a process that was not known when the heartbeat was announced`() {
        begin("h1/a", "h2/a", own = "h1/a")
        loseStore("h2/a")
        val last = play(3_000).announced.last()
        register("h1/a", "h2/b", own = "h1/a")
        answering.clear()
        acknowledge("h2/a", last)
        expectThat(play(3_000).announced).isNotEmpty()
            .all { get { names }.isEqualTo(setOf("h2/a", "h2/b")) }
    }

    @Test
    fun `drops a standby that has ended from the roster at once`() {
        begin("h1/a", "h2/a", "h3/a", own = "h1/a")
        end("h3/a")
        expectThat(play(1_000).recorded).isEqualTo(listOf(setOf("h1/a", "h2/a")))
        register("h1/a", "h2/a", "h3/a", own = "h1/a")
        expectThat(play(20_000).recorded).isEmpty()
        register("h1/a", "h2/a", "h3/b", own = "h1/a")
        expectThat(play(1_000).recorded).isEqualTo(listOf(setOf("h1/a", "h2/a", "h3/b")))
    }

    @Test
    fun `confirms heartbeats itself if it is the only standby`() {
        begin("h1")
        loseStore()
        val moments = play(10_000)
        expectThat(moments.announced).isNotEmpty().all { get { names }.isEmpty() }
        expectThat(scheduler.succession.confirmedMillis).isNotNull().isGreaterThan(
            driver.now - 1_000
        )
    }

    @Test
    fun `stops 30 s after the last durable heartbeat`() {
        begin("h1", "h2")
        loseStore("h2")
        val moments = play(45_000)
        val last = moments.last { it.announced.isNotEmpty() }.millis - durableMillis
        expectThat(last).isLessThan(SchedulerSettings.LONGEST_ANNOUNCED_MILLIS)
            .isGreaterThanOrEqualTo(SchedulerSettings.LONGEST_ANNOUNCED_MILLIS - 600)
        val lastEnd = durableMillis + last + settings.leaseHorizonMillis
        expectThat(moments.polls.mapNotNull { it.leaseEndMillis })
            .all { isLessThanOrEqualTo(lastEnd) }
        expectThat(moments.leaseEndsAfter(last + settings.leaseHorizonMillis)).isNotEmpty()
            .all { isNull() }
    }

    @Test
    fun `drops a host from the roster whose entry has been gone for 5 s`() {
        begin("h1", "h2", "h3")
        register("h1", "h2")
        expectThat(play(4_900).rosters).isEmpty()
        expectThat(play(10_000).recorded).isEqualTo(listOf(setOf("h1", "h2")))
    }

    @Test
    fun `keeps a host in the roster whose entry is gone for less than 5 s`() {
        begin("h1", "h2", "h3")
        register("h1", "h2")
        val gone = play(4_900)
        register("h1", "h2", "h3")
        expectThat((gone + play(20_000)).rosters).isEmpty()
    }

    @Test
    fun `drops an inherited standby that is not registered within 5 s`() {
        inherit("h1", "h2", "h9")
        begin("h1", "h2")
        loseStore("h2")
        expectThat(play(3_000).announced.last().names).contains("h9")
        scheduler.onBatchDurable()
        driver.areRecordsDurableAtOnce = true
        expectThat(play(20_000).recorded).isEqualTo(listOf(setOf("h1", "h2")))
    }

    @Test
    fun `records the roster once for a host that registers`() {
        begin("h1", "h2")
        expectThat(play(20_000).rosters).isEmpty()
        register("h1", "h2", "h3")
        expectThat(play(20_000).recorded)
            .isEqualTo(listOf(setOf("h1", "h2", "h3")))
    }

    @Test
    fun `does not record the roster again and again if this host is not registered`() {
        begin("h2", "h3")
        expectThat(play(20_000).rosters).isEmpty()
    }

    @Test
    fun `records the roster once for all changes of an outage`() {
        begin("h1", "h2", "h3")
        loseStore("h2", "h3")
        play(1_000)
        register("h1", "h2", "h4")
        expectThat(play(15_000).rosters).isEmpty()
        scheduler.onBatchDurable()
        driver.areRecordsDurableAtOnce = true
        expectThat(play(20_000).recorded)
            .isEqualTo(listOf(setOf("h1", "h2", "h4")))
    }

    // Guards against leases that become shorter when the store returns.
    @Test
    fun `is not affected by a late durable heartbeat formed before a confirmed one`() {
        begin("h1", "h2")
        loseStore("h2")
        play(10_000)
        val confirmed = scheduler.succession.confirmedMillis
        scheduler.onBatchDurable()
        expectThat(scheduler.succession.confirmedMillis).isNotNull().isEqualTo(confirmed)
        answering.clear()
        val polls = play(1_500).polls
        expectThat(polls).isNotEmpty()
            .all { get { leaseEndMillis }.isNotNull().isGreaterThan(driver.now) }
        expectThat(polls.first()).get { leaseEndMillis!! - sentMillis }
            .isGreaterThan(settings.leaseMillis - 1_000)
    }

    // Guards against a limit in the roster that can't be taken back (LOST, issues 34 and 49).
    @Test
    fun `extends the lease of a worker that answers again once all standbys know`() {
        begin("h1", "h2", "h3")
        playInSilence(1_000)
        loseStore("h2", "h3")
        val moments = play(20_000)
        expectThat(moments.announced).isNotEmpty().all {
            get { liftedLimits }.isEqualTo(setOf("w1"))
        }
        expectThat(moments.events("limits-lifted").single().fields["first"]).isEqualTo("w1")
        val (before, after) = moments.partition { it.millis <= moments.firstAnnouncedMillis }
        expectThat(before.polls).isNotEmpty().all { get { leaseEndMillis }.isNull() }
        // The worker's clock was read a step ago.
        val full = settings.drainingLeaseMillis - settings.maxDrift(STEP_MILLIS)
        expectThat(after.polls).isNotEmpty().all {
            get { leaseEndMillis!! - sentMillis }.isEqualTo(full)
        }
    }

    private val List<Moment>.firstAnnouncedMillis
        get() = first { it.announced.isNotEmpty() }.millis

    @Test
    fun `extends no limited lease while one standby is silent`() {
        begin("h1", "h2", "h3")
        playInSilence(1_000)
        loseStore("h2")
        expectThat(play(10_000).polls).isNotEmpty().all { get { leaseEndMillis }.isNull() }
    }

    // A host of an earlier version acknowledges heartbeats, and would count by the limit (TWICE).
    @Test
    fun `extends no limited lease while one standby does not record limits`() {
        begin("h1", "h2", "h3")
        playInSilence(1_000)
        ignoringLimits += "h3"
        loseStore("h2", "h3")
        expectThat(play(10_000).polls).isNotEmpty().all { get { leaseEndMillis }.isNull() }
        expectThat(scheduler.succession.confirmedMillis).isNotNull()
    }

    @Test
    fun `lifts no limit of a worker that stays silent`() {
        begin("h1", "h2")
        playInSilence(1_000)
        loseStore("h2")
        expectThat(playInSilence(10_000).announced).isNotEmpty().all {
            get { liftedLimits }.isEmpty()
        }
    }

    // A host that is no standby relies on it (TWICE).
    @Test
    fun `lifts no limit of a lease that has lapsed`() {
        begin("h1", "h2")
        playInSilence(1_000)
        loseStore("h2")
        playInSilence(settings.lapsedBy(0))
        expectThat(play(10_000).announced).isNotEmpty().all { get { liftedLimits }.isEmpty() }
    }

    // Guards against a lease after an acknowledgement that came before the limit (TWICE).
    @Test
    fun `lifts a limit anew that a later roster contains`() {
        begin("h1", "h2")
        playInSilence(1_000)
        loseStore("h2")
        val lifted = play(5_000).announced.last()
        expectThat(lifted.liftedLimits).isEqualTo(setOf("w1"))
        areWorkersSilent = true
        play(500)
        // The roster without the limit, which was in flight.
        scheduler.onBatchDurable()
        val limiting = playInSilence(2_000).rosters.single()
        expectThat(limiting.leasesLeft.fixed.keys).isEqualTo(setOf("w1"))
        val last = limiting.lastAnnounced
        expectThat(last).isGreaterThanOrEqualTo(lifted.number)
        answering -= "h2"
        val moments = play(3_000)
        expectThat(moments.polls).isNotEmpty().all { get { leaseEndMillis }.isNull() }
        acknowledge("h2", lifted)
        expectThat(play(500).polls).isNotEmpty().all { get { leaseEndMillis }.isNull() }
        answering += "h2"
        val later = play(3_000)
        expectThat(later.announced.last()).and {
            get { number }.isGreaterThan(last)
            get { liftedLimits }.isEqualTo(setOf("w1"))
        }
        expectThat(later.polls.last().leaseEndMillis).isNotNull()
    }

    @Test
    fun `names at most 32 workers whose limits are lifted, and logs that others are left`() {
        begin("h1", "h2", workers = 40)
        playInSilence(1_000)
        loseStore("h2")
        val moments = play(4_000)
        expectThat(moments.announced).isNotEmpty().all { get { liftedLimits }.hasSize(32) }
        expectThat(moments.announced.map { it.liftedLimits }.distinct()).hasSize(1)
        expectThat(moments.events("limits-not-lifted").first().fields["workers"]).isEqualTo(8)
        val named = moments.announced.first().liftedLimits
        val extended = moments.polls.filter { it.leaseEndMillis != null }.map { it.worker.id }
        expectThat(extended.toSet()).isEqualTo(named)
    }

    @Test
    fun `logs once that standbys confirm`() {
        begin("h1", "h2", "h3")
        loseStore("h2", "h3")
        val moments = play(28_000)
        val event = moments.events("standbys-confirm").single()
        expectThat(event.id).isEqualTo("epoch-1")
        expectThat(event.fields["hosts"]).isEqualTo(2)
        expectThat(event.fields["durableMillisAgo"]).isA<Long>().isLessThan(2_000)
        expectThat(moments.events("standbys-silent")).isEmpty()
    }

    @Test
    fun `logs once which standbys are silent, and names a few of them`() {
        val silent = (10..29).map { "h$it" }
        begin("h1", "h2", *silent.toTypedArray())
        loseStore("h2")
        val event = play(40_000).events("standbys-silent").single()
        expectThat(event.id).isEqualTo("epoch-1")
        expectThat(event.fields["hosts"]).isEqualTo(20)
        expectThat(event.fields["needed"]).isEqualTo(21)
        expectThat(event.fields["heartbeatMillisAgo"]).isA<Long>().isLessThan(4_000)
        val names = event.fields["first"].toString().split(",")
        expectThat(names).hasSize(4).all { get { this in silent }.isEqualTo(true) }
    }

    @Test
    fun `logs that standbys confirm again after silence`() {
        begin("h1", "h2")
        loseStore("h2")
        play(5_000)
        answering.clear()
        expectThat(play(8_000).events("standbys-silent")).hasSize(1)
        answering += "h2"
        val moments = play(8_000)
        expectThat(moments.events("standbys-confirm")).hasSize(1)
        expectThat(moments.events("standbys-silent")).isEmpty()
    }

    private companion object {
        const val STEP_MILLIS = 50L
    }
}
