/** Tests the scheduler in virtual time, compared with a FIFO queue. */
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
    private val photos = RunTimeKey("inspectors", "photos")
    private val archive = RunTimeKey("inspectors", "archive")

    @ParameterizedTest
    @CsvSource("1, 700", "2, 1400", "3, 1600")
    fun `short requests seldom wait for long ones`(seed: Int, perSecond: Double) {
        val shorts = shorts(seed, perSecond)
        val longs = longs(seed, perSecond = 4.0)
        val alone = simulate(SLOTS, workload(shorts), ScheduledPolicy(SLOTS, seed))
        val mixed = simulate(SLOTS, workload(shorts, longs), ScheduledPolicy(SLOTS, seed))
        val fifo = simulate(SLOTS, workload(shorts, longs), FifoPolicy())
        val base = alone.waitTimes(photos).percentile(0.99)
        val wait = mixed.waitTimes(photos).percentile(0.99)
        val fifoWait = fifo.waitTimes(photos).percentile(0.99)
        expectThat(wait).isLessThanOrEqualTo(maxOf(1.5 * base, 1.0))
        expectThat(fifoWait).isGreaterThan(20 * maxOf(wait, 1.0))
    }

    @Test
    fun `corrects swapped declarations of short and long requests`() {
        val seed = 4
        val shorts = shorts(seed, perSecond = 700.0, declared = 60_000.0)
        val longs = longs(seed, perSecond = 4.0, declared = 1.0)
        val mixed = simulate(SLOTS, workload(shorts, longs), ScheduledPolicy(SLOTS, seed))
        expectThat(mixed.waitTimes(photos).percentile(0.99)).isLessThan(20.0)
        expectThat(mixed.refusals.count { it.key == photos }).isEqualTo(0)
    }

    @Test
    fun `long requests keep a slot in an overload of short ones`() {
        val seed = 5
        val shorts = shorts(seed, perSecond = 2 * CAPACITY)
        val longs = longs(seed, perSecond = 4.0)
        val mixed = simulate(SLOTS, workload(shorts, longs), ScheduledPolicy(SLOTS, seed))
        val longMillis = mixed.ran.filter { it.request.key == archive }
            .sumOf { minOf(it.endedMillis, SPAN_MILLIS) - minOf(it.startedMillis, SPAN_MILLIS) }
        expectThat(longMillis).isGreaterThan(0.95 * SPAN_MILLIS)
    }

    @Test
    fun `a surge of short requests holds long ones back only while it lasts`() {
        val seed = 7
        val surge = shorts(seed, perSecond = 3 * CAPACITY, from = 0.0, to = 2_000.0)
        val calm = shorts(seed, perSecond = 240.0, from = 2_000.0)
        val longs = longs(seed, perSecond = 1.0)
        val mixed = simulate(SLOTS, workload(surge, calm, longs), ScheduledPolicy(SLOTS, seed))
        val early = mixed.ran.filter { it.request.key == archive && it.startedMillis < 12_000.0 }
        expectThat(early.size).isGreaterThan(SLOTS / 3)
    }

    @Test
    fun `runs all long requests if there are no short ones`() {
        val seed = 6
        val longs = longs(seed, perSecond = 1.8)
        val alone = simulate(SLOTS, workload(longs), ScheduledPolicy(SLOTS, seed))
        expectThat(alone.ran).hasSize(longs.size)
    }

    @Test
    fun `does not refuse long requests because of one recent short request`() {
        val scheduler = ServiceScheduler(random = Random(1))
        val first = Arrival(photos, declaredMillis = 10.0, remainingMillis = 20_000.0)
        scheduler.admit(first, slots = 4, free = 4, nowMillis = 0.0)
        scheduler.pollNext(slots = 4, nowMillis = 0.0)
        scheduler.finish(1, ranMillis = 100.0, completed = true, nowMillis = 100.0)
        val admissions = List(10) {
            val long = Arrival(archive, declaredMillis = 2_000.0, remainingMillis = 20_000.0)
            val free = 4 - scheduler.longRunning
            scheduler.admit(long, slots = 4, free = free, nowMillis = 101.0)
                .also { scheduler.pollNext(slots = 4, nowMillis = 101.0) }
        }
        expectThat(admissions.filterIsInstance<Admission.Refused>()).hasSize(0)
    }

    @Test
    fun `a team that floods the service does not starve another team`() {
        val seed = 6
        val flood = shorts(seed, perSecond = 6_000.0, team = "flood", timeoutMillis = 500.0)
        val quiet = shorts(seed + 1, perSecond = 300.0, team = "quiet", timeoutMillis = 500.0)
        val result = simulate(SLOTS, workload(flood, quiet), ScheduledPolicy(SLOTS, seed))
        val served = result.ran.count { it.request.key.team == "quiet" && it.metDeadline }
        expectThat(served).isGreaterThanOrEqualTo(quiet.size * 99 / 100)
    }

    @ParameterizedTest
    @ValueSource(ints = [11, 12, 13])
    fun `sustains goodput at three times the capacity and recovers after the surge`(seed: Int) {
        val calm = shorts(seed, perSecond = CAPACITY / 2, timeoutMillis = 1_000.0, to = 60_000.0)
        val surge = shorts(
            seed + 100,
            perSecond = CAPACITY * 2.5,
            timeoutMillis = 1_000.0,
            from = 10_000.0,
            to = 30_000.0
        )
        val requests = workload(calm, surge)
        val result = simulate(SLOTS, requests, ScheduledPolicy(SLOTS, seed), maxRetries = 3)
        val fifo = simulate(SLOTS, requests, FifoPolicy(), maxRetries = 3)
        expectThat(result.goodput(11_000.0, 30_000.0)).isGreaterThanOrEqualTo(0.95)
        expectThat(fifo.goodput(11_000.0, 30_000.0)).isLessThan(0.5)
        expectThat(result.goodput(30_000.0, 32_000.0)).isGreaterThan(0.45)
        expectThat(result.refusals.count { it.atMillis > 32_000.0 }).isLessThan(
            requests.size / 1_000
        )
        expectThat(result.ran.count { it.metDeadline })
            .isGreaterThanOrEqualTo(requests.size * 95 / 100)
    }

    @Test
    fun `spreads the retries of refused callers over time`() {
        val seed = 14
        val surge = shorts(seed, perSecond = CAPACITY * 3, timeoutMillis = 200.0, to = 5_000.0)
        val policy = ScheduledPolicy(SLOTS, seed)
        val retryTimes = mutableListOf<Double>()
        val recording = object : SimulatedPolicy by policy {
            override fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double) =
                policy.arrive(request, free, nowMillis)?.also { retryTimes += nowMillis + it }
        }
        simulate(SLOTS, workload(surge), recording)
        val busiest = retryTimes.groupingBy { (it / 100).toInt() }.eachCount().values.max()
        expectThat(busiest).isLessThan(retryTimes.size / 20)
    }

    private fun shorts(
        seed: Int,
        perSecond: Double,
        team: String = photos.team,
        declared: Double = 10.0,
        timeoutMillis: Double = 60_000.0,
        from: Double = 0.0,
        to: Double = SPAN_MILLIS
    ) = arrivals(
        Random(seed),
        RunTimeKey(team, photos.route),
        perSecond,
        from..to,
        { 5 + 10 * it.nextDouble() },
        declared,
        timeoutMillis
    )

    private fun longs(
        seed: Int,
        perSecond: Double,
        declared: Double = 10_000.0,
        timeoutMillis: Double = 60_000.0
    ) = arrivals(
        Random(seed + 1_000),
        archive,
        perSecond,
        0.0..SPAN_MILLIS,
        { 5_000 + 10_000 * it.nextDouble() },
        declared,
        timeoutMillis
    )

    private fun SimulationResult.waitTimes(key: RunTimeKey) =
        ran.filter { it.request.key == key }.map { it.waitMillis }

    /** Returns the share of the slot time that was spent on requests that met their deadline. */
    private fun SimulationResult.goodput(fromMillis: Double, toMillis: Double) =
        ran.filter { it.metDeadline && it.endedMillis in fromMillis..toMillis }
            .sumOf { it.request.runMillis } / (SLOTS * (toMillis - fromMillis))

    private companion object {
        const val SLOTS = 20
        const val SPAN_MILLIS = 30_000.0

        /** The capacity of all slots in short requests per second. */
        const val CAPACITY = SLOTS * 100.0
    }
}
