/** The request experiments: each runs the daemon's request path and then its baseline. */
package sycamoremast.bench.request

import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import sycamoremast.bench.Experiment
import sycamoremast.bench.ExperimentResult
import sycamoremast.bench.NamedLatency
import sycamoremast.bench.ResultPlot
import sycamoremast.bench.ResultTable
import sycamoremast.bench.cell
import sycamoremast.bench.latencyTable
import sycamoremast.bench.millisAt
import sycamoremast.standins.BackendFaults

private const val BACKENDS = 4
private const val SLOTS = 32
private const val P99 = 99.0
private const val PHOTOS = "photos"
private const val ARCHIVE = "archive"
private const val MILLIS_PER_SECOND = 1000.0

/** Returns the rate at which requests of [workMillis] keep [share] of all slots busy. */
private fun rate(share: Double, workMillis: Long) = share * SLOTS * MILLIS_PER_SECOND / workMillis

/** Returns a workload with a constant rate that keeps [share] of all slots busy. */
private fun steady(kind: String, workMillis: Long, share: Double, deadlineMillis: Long): Workload {
    val rate = rate(share, workMillis)
    return Workload(kind, "/$kind", workMillis, Rate.constant(rate), rate, deadlineMillis)
}

/**
 * Starts a new system, warms it up and runs [workloads] against it.
 *
 * [during] runs concurrently with the load, from its start.
 */
private fun measure(
    workloads: List<Workload>,
    durationMillis: Long,
    seed: Long,
    maxRetries: Int = 0,
    label: String? = null,
    during: (SystemUnderTest, BackendFleet) -> Unit = { _, _ -> },
    system: (BackendFleet) -> SystemUnderTest
): SystemRun = BackendFleet(BACKENDS).use { fleet ->
    system(fleet).use { target ->
        LoadGenerator(maxRetries, target::ports).use { load ->
            warmUp(load, target)
            val prefixed = workloads.map { it.copy(path = target.pathPrefix + it.path) }
            val concurrentTask = CompletableFuture.runAsync { during(target, fleet) }
            val samples = load.run(arrivals(prefixed, durationMillis, Random(seed)), durationMillis)
            concurrentTask.join()
            SystemRun(label ?: target.name, samples, fleet.refusedRequests())
        }
    }
}

private fun oneDaemon(fleet: BackendFleet) = DaemonHosts(fleet, 1)

/** Repeats a light load until all of it is answered, because a starting host rejects at first. */
private fun warmUp(load: LoadGenerator, target: SystemUnderTest) {
    val workload = steady(PHOTOS, WARM_UP_WORK_MILLIS, WARM_UP_SHARE, WARM_UP_DEADLINE_MILLIS)
        .let { it.copy(path = target.pathPrefix + it.path) }
    val arrivals = arrivals(listOf(workload), WARM_UP_MILLIS, Random(0))
    repeat(MAX_WARM_UPS) {
        if (load.run(arrivals, WARM_UP_MILLIS).answered().size == arrivals.size) return
    }
    error("${target.name} did not answer the whole warm-up load in $MAX_WARM_UPS rounds")
}

/** The length of a first run without results, in which the JIT compiler warms up. */
private const val JIT_WARM_UP_MILLIS = 5_000L
private const val WARM_UP_MILLIS = 2_000L
private const val WARM_UP_DEADLINE_MILLIS = 5_000L
private const val MAX_WARM_UPS = 10
private const val WARM_UP_WORK_MILLIS = 20L
private const val WARM_UP_SHARE = 0.3

/** Measures how much longer short requests wait when long requests share the slots. */
internal object ShortBehindLong : Experiment {
    override val name = "short-behind-long"
    override val summary = "Wait of 20 ms requests beside 2 s ones, against FIFO and round-robin"

    private const val DURATION_MILLIS = 10_000L
    private const val SHORT_MILLIS = 20L
    private const val LONG_MILLIS = 2_000L
    private const val SHORT_SHARE = 0.12
    private const val LONG_SHARE = 0.95
    private const val DEADLINE_MILLIS = 20_000L

    override fun run(seed: Long): ExperimentResult {
        val short = steady(PHOTOS, SHORT_MILLIS, SHORT_SHARE, DEADLINE_MILLIS)
        val long = steady(ARCHIVE, LONG_MILLIS, LONG_SHARE, DEADLINE_MILLIS)
        val both = listOf(short, long)
        measure(both, JIT_WARM_UP_MILLIS, seed, system = ::oneDaemon)
        val alone = measure(
            listOf(short),
            DURATION_MILLIS,
            seed,
            label = "daemon-short-only",
            system = ::oneDaemon
        )
        val mixed = measure(both, DURATION_MILLIS, seed, system = ::oneDaemon)
        val fifo = measure(both, DURATION_MILLIS, seed, system = ::FifoRoundRobinProxy)
        val runs = listOf(alone, mixed, fifo)
        val waits = runs.map { waitLatency(it, PHOTOS) } + listOf(mixed, fifo).map {
            waitLatency(it, ARCHIVE)
        }
        val tables = listOf(
            latencyTable("$name-waits", waits),
            outcomeTable("$name-outcomes", runs),
            reasonTable("$name-reasons", runs),
            ratios(waits[0], waits[1], waits[2], runs)
        )
        return ExperimentResult(tables, latencies = waits.map { it.prefixed(name) })
    }

    private fun ratios(
        alone: NamedLatency,
        mixed: NamedLatency,
        fifo: NamedLatency,
        runs: List<SystemRun>
    ): ResultTable {
        val (a, m, f) = listOf(alone, mixed, fifo).map { it.histogram.millisAt(P99) }
        return ResultTable(
            "$name-ratios",
            listOf("what", "measured", "target"),
            listOf(
                listOf("p99 wait of short work, with long over without", cell(m / a), "up to 1.5"),
                listOf("p99 wait of short work, FIFO over daemon", cell(f / m), "at least 20")
            ) + runs.map { listOf("short work answered by ${it.system}", answeredShare(it), "1") }
        )
    }

    private fun answeredShare(run: SystemRun): String {
        val short = run.samples.ofKind(PHOTOS)
        return cell(short.answered().size.toDouble() / short.size)
    }
}

/** Measures goodput and rejections during and after an overload of 3 times the capacity. */
internal object Overload : Experiment {
    override val name = "crest"
    override val summary = "Goodput and refusals at 3 times the capacity for 20 s, against FIFO"

    private const val WORK_MILLIS = 100L
    private const val DEADLINE_MILLIS = 2_000L

    /** The overload lasts from [FROM_MILLIS] to [UNTIL_MILLIS]. */
    private const val FROM_MILLIS = 4_000L
    private const val UNTIL_MILLIS = 24_000L
    private const val DURATION_MILLIS = 32_000L

    /** The time after each change of the rate that goodput leaves out. */
    private const val SETTLE_MILLIS = 2_000L
    private const val BASE_SHARE = 0.6
    private const val PEAK_SHARE = 3.0
    private const val MAX_RETRIES = 2

    override fun run(seed: Long): ExperimentResult {
        val (base, peak) = rate(BASE_SHARE, WORK_MILLIS) to rate(PEAK_SHARE, WORK_MILLIS)
        val (from, until) = FROM_MILLIS.toDouble() to UNTIL_MILLIS.toDouble()
        val surge = Rate.surge(base, peak, from, until)
        val workload = Workload(PHOTOS, "/$PHOTOS", WORK_MILLIS, surge, peak, DEADLINE_MILLIS)
        val load = listOf(workload)
        val runs = listOf(::oneDaemon, ::FifoRoundRobinProxy).map {
            measure(load, DURATION_MILLIS, seed, MAX_RETRIES, system = it)
        }
        val series = runs.map { goodputSeries(it, SLOTS, DURATION_MILLIS) }
        val plot = ResultPlot(
            "$name-goodput",
            "Goodput at a crest of 3 times the capacity, 4 s to 24 s",
            "second",
            "answered in time, share of all slots",
            series
        )
        val tables = listOf(
            goodputTable(runs),
            outcomeTable("$name-outcomes", runs),
            reasonTable("$name-reasons", runs),
            latencyTable("$name-latency", runs.map { latency(it) }),
            latencyTable("$name-refusals", runs.map { rejections(it) }),
            seriesTable("$name-goodput", series)
        )
        return ExperimentResult(tables, listOf(plot))
    }

    private fun goodputTable(runs: List<SystemRun>) = ResultTable(
        "$name-figures",
        listOf("system", "goodput_at_crest", "goodput_after", "offered_after", "target_at_crest"),
        runs.map { run ->
            val duringPeak = goodput(run, SLOTS, FROM_MILLIS + SETTLE_MILLIS, UNTIL_MILLIS)
            val afterPeak = goodput(run, SLOTS, UNTIL_MILLIS + SETTLE_MILLIS, DURATION_MILLIS)
            listOf(run.system, cell(duringPeak), cell(afterPeak), "$BASE_SHARE and returns", "0.95")
        }
    )

    private fun latency(run: SystemRun) = NamedLatency(
        "${run.system} answered at the crest",
        run.samples.within(FROM_MILLIS, UNTIL_MILLIS).answered().latencies { it.latencyMicros }
    )

    private fun rejections(run: SystemRun) = NamedLatency(
        "${run.system} refusals at the crest",
        run.samples.within(FROM_MILLIS, UNTIL_MILLIS)
            .filter { it.outcome == SampleOutcome.NOT_RUN }.latencies { it.latencyMicros }
    )
}

/** Measures latency while one of four backend servers is ten times slower than usual. */
internal object SlowInstance : Experiment {
    override val name = "slow-instance"
    override val summary = "Latency while one of 4 instances is 10 times slower, against FIFO"

    private const val WORK_MILLIS = 20L
    private const val DEADLINE_MILLIS = 5_000L
    private const val SHARE = 0.5
    private const val SLOW_START_MILLIS = 4_000L
    private const val SLOW_END_MILLIS = 12_000L
    private const val DURATION_MILLIS = 16_000L
    private const val SLOWDOWN_PERCENT = 1_000L

    override fun run(seed: Long): ExperimentResult {
        val load = listOf(steady(PHOTOS, WORK_MILLIS, SHARE, DEADLINE_MILLIS))
        measure(load, JIT_WARM_UP_MILLIS, seed, system = ::oneDaemon)
        val runs = listOf(::oneDaemon, ::FifoRoundRobinProxy).map { system ->
            measure(
                load,
                DURATION_MILLIS,
                seed,
                during = { _, fleet -> slowDown(fleet) },
                system = system
            )
        }
        val latencies = runs.flatMap { run ->
            listOf(
                phase(run, "before", 0, SLOW_START_MILLIS),
                phase(run, "while slow", SLOW_START_MILLIS, SLOW_END_MILLIS),
                phase(run, "after", SLOW_END_MILLIS, DURATION_MILLIS)
            )
        }
        val tables = listOf(
            latencyTable("$name-latency", latencies),
            outcomeTable("$name-outcomes", runs),
            reasonTable("$name-reasons", runs)
        )
        return ExperimentResult(tables)
    }

    private fun slowDown(fleet: BackendFleet) {
        Thread.sleep(SLOW_START_MILLIS)
        fleet.servers[0].setFaults(BackendFaults(slowdownPercent = SLOWDOWN_PERCENT))
        Thread.sleep(SLOW_END_MILLIS - SLOW_START_MILLIS)
        fleet.servers[0].setFaults(BackendFaults())
    }

    private fun phase(run: SystemRun, phase: String, from: Long, until: Long) = NamedLatency(
        "${run.system} $phase",
        run.samples.within(from, until).answered().latencies { it.latencyMicros }
    )
}

/** Counts the requests cut off while three entry hosts are restarted one by one under load. */
internal object RollingRestart : Experiment {
    override val name = "rolling-restart"
    override val summary = "Requests cut off while 3 hosts restart in turn, against abrupt stops"

    private const val HOSTS = 3
    private const val WORK_MILLIS = 100L
    private const val DEADLINE_MILLIS = 5_000L
    private const val SHARE = 0.4
    private const val DURATION_MILLIS = 14_000L
    private const val BALANCER_LAG_MILLIS = 500L
    private const val PAUSE_MILLIS = 2_000L

    override fun run(seed: Long): ExperimentResult {
        val load = listOf(steady(PHOTOS, WORK_MILLIS, SHARE, DEADLINE_MILLIS))
        val graceful = measure(load, seed) { host -> stopGracefully(host, BALANCER_LAG_MILLIS) }
        val abrupt = measure(load, seed) { host -> stopAbruptly(host, BALANCER_LAG_MILLIS) }
        val runs = listOf(graceful.copy(system = "graceful"), abrupt.copy(system = "abrupt"))
        val latencies = runs.map { run ->
            NamedLatency(run.system, run.samples.answered().latencies { it.latencyMicros })
        }
        val tables = listOf(
            outcomeTable("$name-outcomes", runs),
            reasonTable("$name-reasons", runs),
            latencyTable("$name-latency", latencies)
        )
        return ExperimentResult(tables)
    }

    private fun measure(
        load: List<Workload>,
        seed: Long,
        stop: DaemonHosts.(Int) -> Unit
    ): SystemRun {
        val restartAll = { target: SystemUnderTest, _: BackendFleet ->
            repeat(HOSTS) { host -> restart(target as DaemonHosts, host, stop) }
        }
        return measure(load, DURATION_MILLIS, seed, during = restartAll) { DaemonHosts(it, HOSTS) }
    }

    private fun restart(target: DaemonHosts, host: Int, stop: DaemonHosts.(Int) -> Unit) {
        Thread.sleep(PAUSE_MILLIS)
        target.stop(host)
        target.restart(host, 2)
    }
}

/** Measures the latency that an entry host adds to a call at half load. */
internal object AddedLatency : Experiment {
    override val name = "added-latency"
    override val summary = "Latency at half load through an entry host, against calling directly"

    private const val WORK_MILLIS = 20L
    private const val DEADLINE_MILLIS = 5_000L
    private const val SHARE = 0.5
    private const val DURATION_MILLIS = 10_000L

    override fun run(seed: Long): ExperimentResult {
        val load = listOf(steady(PHOTOS, WORK_MILLIS, SHARE, DEADLINE_MILLIS))
        measure(load, JIT_WARM_UP_MILLIS, seed, system = ::oneDaemon)
        val runs = listOf(::DirectBackends, ::oneDaemon, ::FifoRoundRobinProxy).map {
            measure(load, DURATION_MILLIS, seed, system = it)
        }
        val waits = runs.map { waitLatency(it, PHOTOS) }
        val tables = listOf(
            latencyTable("$name-waits", waits),
            outcomeTable("$name-outcomes", runs),
            reasonTable("$name-reasons", runs)
        )
        return ExperimentResult(tables, latencies = waits.map { it.prefixed(name) })
    }
}

/** Returns a copy whose name is usable as a file name and starts with [prefix]. */
private fun NamedLatency.prefixed(prefix: String) = copy(name = "$prefix-${name.replace(' ', '-')}")
