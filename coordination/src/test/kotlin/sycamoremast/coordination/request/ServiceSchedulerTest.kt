/** The scheduler in virtual time, compared with first come, first served. */
package sycamoremast.coordination.request

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class ServiceSchedulerTest {
    private val photo = RunTimeKey("inspectors", "photos")
    private val archive = RunTimeKey("inspectors", "archive")

    @ParameterizedTest
    @CsvSource("1, 700", "2, 1400", "3, 1600")
    fun `short work hardly waits for long work`(seed: Int, perSecond: Double) {
        val shorts = shorts(seed, perSecond)
        val longs = longs(seed, perSecond = 4.0)
        val alone = simulate(SLOTS, workload(shorts), ScheduledPolicy(SLOTS, seed))
        val mixed = simulate(SLOTS, workload(shorts, longs), ScheduledPolicy(SLOTS, seed))
        val fifo = simulate(SLOTS, workload(shorts, longs), FifoPolicy())
        val base = alone.waits(photo).percentile(0.99)
        val wait = mixed.waits(photo).percentile(0.99)
        val fifoWait = fifo.waits(photo).percentile(0.99)
        expectThat(wait).isLessThanOrEqualTo(maxOf(1.5 * base, 1.0))
        expectThat(fifoWait).isGreaterThan(20 * maxOf(wait, 1.0))
    }

    @Test
    fun `run times that were declared the wrong way round are corrected`() {
        val seed = 4
        val shorts = shorts(seed, perSecond = 700.0, declared = 60_000.0)
        val longs = longs(seed, perSecond = 4.0, declared = 1.0)
        val mixed = simulate(SLOTS, workload(shorts, longs), ScheduledPolicy(SLOTS, seed))
        expectThat(mixed.waits(photo).percentile(0.99)).isLessThan(20.0)
        expectThat(mixed.refusals.count { it.key == photo }).isEqualTo(0)
    }

    @Test
    fun `long work keeps a slot however much short work comes`() {
        val seed = 5
        val shorts = shorts(seed, perSecond = 2 * CAPACITY)
        val longs = longs(seed, perSecond = 4.0)
        val mixed = simulate(SLOTS, workload(shorts, longs), ScheduledPolicy(SLOTS, seed))
        val longMillis = mixed.ran.filter { it.request.key == archive }
            .sumOf { minOf(it.endedMillis, SPAN_MILLIS) - minOf(it.startedMillis, SPAN_MILLIS) }
        expectThat(longMillis).isGreaterThan(0.95 * SPAN_MILLIS)
    }

    @Test
    fun `a surge of short work keeps long work back for no longer than it lasts`() {
        val seed = 7
        val surge = shorts(seed, perSecond = 3 * CAPACITY, from = 0.0, to = 2_000.0)
        val calm = shorts(seed, perSecond = 240.0, from = 2_000.0)
        val longs = longs(seed, perSecond = 1.0)
        val mixed = simulate(SLOTS, workload(surge, calm, longs), ScheduledPolicy(SLOTS, seed))
        val early = mixed.ran.filter { it.request.key == archive && it.startedMillis < 12_000.0 }
        expectThat(early.size).isGreaterThan(SLOTS / 3)
    }

    @Test
    fun `long work has the slots to itself while no short work comes`() {
        val seed = 6
        val longs = longs(seed, perSecond = 1.8)
        val alone = simulate(SLOTS, workload(longs), ScheduledPolicy(SLOTS, seed))
        expectThat(alone.ran).hasSize(longs.size)
    }

    @Test
    fun `a short request just run is no reason to refuse long ones`() {
        val scheduler = ServiceScheduler(random = Random(1))
        val first = Arrival(photo, declaredMillis = 10.0, remainingMillis = 20_000.0)
        scheduler.arrive(first, slots = 4, free = 4, nowMillis = 0.0)
        scheduler.next(slots = 4, nowMillis = 0.0)
        scheduler.finished(1, ranMillis = 100.0, completed = true, nowMillis = 100.0)
        val admissions = List(10) {
            val long = Arrival(archive, declaredMillis = 2_000.0, remainingMillis = 20_000.0)
            val free = 4 - scheduler.longRunning
            scheduler.arrive(long, slots = 4, free = free, nowMillis = 101.0)
                .also { scheduler.next(slots = 4, nowMillis = 101.0) }
        }
        expectThat(admissions.filterIsInstance<Admission.Refused>()).hasSize(0)
    }

    @Test
    fun `a team that floods the service leaves another team its share`() {
        val seed = 6
        val flood = shorts(seed, perSecond = 6_000.0, team = "flood", patience = 500.0)
        val quiet = shorts(seed + 1, perSecond = 300.0, team = "quiet", patience = 500.0)
        val result = simulate(SLOTS, workload(flood, quiet), ScheduledPolicy(SLOTS, seed))
        val served = result.ran.count { it.request.key.team == "quiet" && it.inTime }
        expectThat(served).isGreaterThanOrEqualTo(quiet.size * 99 / 100)
    }

    @ParameterizedTest
    @ValueSource(ints = [11, 12, 13])
    fun `goodput holds at three times the capacity and returns after the surge`(seed: Int) {
        val calm = shorts(seed, perSecond = CAPACITY / 2, patience = 1_000.0, to = 60_000.0)
        val surge = shorts(
            seed + 100,
            perSecond = CAPACITY * 2.5,
            patience = 1_000.0,
            from = 10_000.0,
            to = 30_000.0
        )
        val requests = workload(calm, surge)
        val result = simulate(SLOTS, requests, ScheduledPolicy(SLOTS, seed), returns = 3)
        val fifo = simulate(SLOTS, requests, FifoPolicy(), returns = 3)
        expectThat(result.goodput(11_000.0, 30_000.0)).isGreaterThanOrEqualTo(0.95)
        expectThat(fifo.goodput(11_000.0, 30_000.0)).isLessThan(0.5)
        expectThat(result.goodput(30_000.0, 32_000.0)).isGreaterThan(0.45)
        expectThat(result.refusals.count { it.atMillis > 32_000.0 }).isLessThan(
            requests.size / 1_000
        )
        expectThat(result.ran.count { it.inTime }).isGreaterThanOrEqualTo(requests.size * 95 / 100)
    }

    @Test
    fun `refused callers come back spread out`() {
        val seed = 14
        val surge = shorts(seed, perSecond = CAPACITY * 3, patience = 200.0, to = 5_000.0)
        val policy = ScheduledPolicy(SLOTS, seed)
        val comebacks = mutableListOf<Double>()
        val recording = object : SimulatedPolicy by policy {
            override fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double) =
                policy.arrive(request, free, nowMillis)?.also { comebacks += nowMillis + it }
        }
        simulate(SLOTS, workload(surge), recording)
        val busiest = comebacks.groupingBy { (it / 100).toInt() }.eachCount().values.max()
        expectThat(busiest).isLessThan(comebacks.size / 20)
    }

    private fun shorts(
        seed: Int,
        perSecond: Double,
        team: String = photo.team,
        declared: Double = 10.0,
        patience: Double = 60_000.0,
        from: Double = 0.0,
        to: Double = SPAN_MILLIS
    ) = arrivals(
        Random(seed),
        RunTimeKey(team, photo.route),
        perSecond,
        from..to,
        { 5 + 10 * it.nextDouble() },
        declared,
        patience
    )

    private fun longs(
        seed: Int,
        perSecond: Double,
        declared: Double = 10_000.0,
        patience: Double = 60_000.0
    ) = arrivals(
        Random(seed + 1_000),
        archive,
        perSecond,
        0.0..SPAN_MILLIS,
        { 5_000 + 10_000 * it.nextDouble() },
        declared,
        patience
    )

    private fun SimulationResult.waits(key: RunTimeKey) =
        ran.filter { it.request.key == key }.map { it.waitMillis }

    /** The share of the slot time that went into requests which ended in time. */
    private fun SimulationResult.goodput(fromMillis: Double, toMillis: Double) =
        ran.filter { it.inTime && it.endedMillis in fromMillis..toMillis }
            .sumOf { it.request.runMillis } / (SLOTS * (toMillis - fromMillis))

    private companion object {
        const val SLOTS = 20
        const val SPAN_MILLIS = 30_000.0

        /** Requests a second that all slots together can run. */
        const val CAPACITY = SLOTS * 100.0
    }
}
