/**
 * Loads by name: which workflows come, how many workers there are, and how these behave.
 *
 * The figures of the named patterns are those of the users' sheets for their two deployments.
 */
package sycamoremast.emulator

/** A kind of workflow; durations in milliseconds, [spread] is the deviation of their logarithm. */
data class WorkKind(
    val queue: String,
    val priority: Int,
    val perSecond: Double,
    val steps: Double,
    val width: Double,
    val workMillis: Double,
    val spread: Double,
    val milliCpus: Double,
    val memoryMib: Long,
    val stretch: Double,
    val targetLatencyMillis: Long,
    val usesIdleCpu: Boolean = false,
    val isServing: Boolean = false,
    val maxAttempts: Int = 3,
    val failShare: Double = 0.0,
    val mostWidth: Int = 32
)

/** A surge: [factor] times the work of [queue] from [fromSecond] on for [seconds]. */
data class Surge(val queue: String, val fromSecond: Int, val seconds: Int, val factor: Double)

/** Workers that fail all that they start, or that work slowly, for a time. */
data class BadWorkers(
    val count: Int,
    val fromSecond: Int,
    val seconds: Int,
    val failShare: Double = 0.0,
    val slowness: Double = 1.0
)

/** A whole load. */
data class Pattern(
    val name: String,
    val workers: Int,
    val milliCpus: Long,
    val memoryMib: Long,
    val kinds: List<WorkKind>,
    val servingReserve: Double,
    val heavyShare: Double,
    val tailMillis: Double,
    val swingSeconds: Double,
    val seconds: Int = 34,
    val surges: List<Surge> = emptyList(),
    val bad: List<BadWorkers> = emptyList()
) {
    /** The tail that serving tasks have to stay below. */
    val targetMillis: Double get() = TARGET_FACTOR * tailMillis

    companion object {
        /** The users' target over the tail of a serving task without load. */
        private const val TARGET_FACTOR = 5.0

        /** Reviews of a heavy day over those of a calm one. */
        private const val HEAVY_DAY = 1.8

        private val bktibKinds = listOf(
            WorkKind(
                queue = "field-check",
                priority = 0,
                perSecond = 2.1,
                steps = 1.6,
                width = 6.0,
                workMillis = 850.0,
                spread = 0.5,
                milliCpus = 3_100.0,
                memoryMib = 6_200,
                stretch = 1.5,
                targetLatencyMillis = 250,
                maxAttempts = 2,
                failShare = 0.05
            ),
            WorkKind(
                queue = "cert-review",
                priority = 2,
                perSecond = 5.0,
                steps = 2.0,
                width = 8.0,
                workMillis = 1_400.0,
                spread = 0.5,
                milliCpus = 3_500.0,
                memoryMib = 6_400,
                stretch = 2.0,
                targetLatencyMillis = 1_000,
                usesIdleCpu = true,
                failShare = 0.05
            ),
            WorkKind(
                queue = "slope-watch",
                priority = 0,
                perSecond = 0.15,
                steps = 1.0,
                width = 6.0,
                workMillis = 0.0,
                spread = 0.0,
                milliCpus = 6_400.0,
                memoryMib = 13_000,
                stretch = 2.2,
                targetLatencyMillis = 2_500,
                isServing = true
            )
        )

        /** BKTIB's calm day: serving tasks reserve most processors, reviews use the idle ones. */
        val sharedCalm = Pattern(
            "shared-calm", 45, 32_000, 128_000, bktibKinds,
            servingReserve = 0.8, heavyShare = 0.35, tailMillis = 10.0, swingSeconds = 14.0
        )

        /** The same with half as many reviews again for six seconds. */
        val sharedSurge = sharedCalm.copy(
            name = "shared-surge",
            surges = listOf(Surge("cert-review", 12, 6, 1.6))
        )

        /** A heavy day of BKTIB: more reviews, and nearly half of all neighbours disturb each other. */
        val sharedHeavy = sharedCalm.copy(
            name = "shared-heavy",
            kinds = bktibKinds.map {
                if (it.usesIdleCpu) it.copy(perSecond = it.perSecond * HEAVY_DAY) else it
            },
            heavyShare = 0.45,
            surges = listOf(Surge("cert-review", 8, 6, 1.5))
        )

        /** Four workers fail all that they start for seven seconds. */
        val failingWorkers = sharedCalm.copy(
            name = "failing-workers",
            bad = listOf(BadWorkers(4, 8, 7, failShare = 1.0))
        )

        /** Eight workers work six times slower for seven seconds. */
        val slowWorkers = sharedCalm.copy(
            name = "slow-workers",
            bad = listOf(BadWorkers(8, 8, 7, slowness = 6.5))
        )

        private val regieKinds = listOf(
            WorkKind(
                queue = "daily-tally",
                priority = 0,
                perSecond = 2.4,
                steps = 1.6,
                width = 6.0,
                workMillis = 680.0,
                spread = 0.5,
                milliCpus = 4_600.0,
                memoryMib = 9_200,
                stretch = 1.5,
                targetLatencyMillis = 250,
                maxAttempts = 2,
                failShare = 0.05
            ),
            WorkKind(
                queue = "species-review",
                priority = 2,
                perSecond = 3.0,
                steps = 2.0,
                width = 8.0,
                workMillis = 1_400.0,
                spread = 0.5,
                milliCpus = 7_000.0,
                memoryMib = 13_000,
                stretch = 2.0,
                targetLatencyMillis = 1_000,
                usesIdleCpu = true,
                failShare = 0.02
            ),
            WorkKind(
                queue = "watch-stream",
                priority = 0,
                perSecond = 0.1,
                steps = 1.0,
                width = 6.0,
                workMillis = 0.0,
                spread = 0.0,
                milliCpus = 13_000.0,
                memoryMib = 26_000,
                stretch = 2.2,
                targetLatencyMillis = 2_500,
                isServing = true
            )
        )

        /** The Regie's fleet with more serving tasks than fit: short tallies need room beside them. */
        val servingCrowd = Pattern(
            "serving-crowd", 32, 64_000, 256_000, regieKinds,
            servingReserve = 0.95, heavyShare = 0.35, tailMillis = 25.0, swingSeconds = 20.0
        )

        private val largeKinds = listOf(
            WorkKind(
                queue = "field-check",
                priority = 0,
                perSecond = 6.5,
                steps = 1.6,
                width = 7.7,
                workMillis = 680.0,
                spread = 0.5,
                milliCpus = 11_000.0,
                memoryMib = 22_000,
                stretch = 1.5,
                targetLatencyMillis = 250,
                failShare = 0.03,
                mostWidth = 46
            ),
            WorkKind(
                queue = "cert-review",
                priority = 2,
                perSecond = 14.8,
                steps = 2.0,
                width = 27.0,
                workMillis = 1_400.0,
                spread = 0.5,
                milliCpus = 3_500.0,
                memoryMib = 6_400,
                stretch = 2.0,
                targetLatencyMillis = 1_000,
                usesIdleCpu = true,
                maxAttempts = 2,
                failShare = 0.005,
                mostWidth = 110
            ),
            WorkKind(
                queue = "slope-watch",
                priority = 0,
                perSecond = 0.4,
                steps = 1.0,
                width = 24.0,
                workMillis = 0.0,
                spread = 0.0,
                milliCpus = 6_400.0,
                memoryMib = 13_000,
                stretch = 2.2,
                targetLatencyMillis = 2_500,
                isServing = true,
                mostWidth = 48
            )
        )

        /** The large fleet: 425 workers and about 900 starts a second. */
        val largeFleet = Pattern(
            "large-fleet", 425, 32_000, 128_000, largeKinds,
            servingReserve = 0.7, heavyShare = 0.35, tailMillis = 10.0, swingSeconds = 14.0,
            seconds = 14
        )

        /** The large fleet and its load [times] as large, for a few seconds. */
        fun larger(times: Int): Pattern = largeFleet.copy(
            name = "large-fleet-x$times",
            workers = largeFleet.workers * times,
            kinds = largeKinds.map { it.copy(perSecond = it.perSecond * times) },
            seconds = 6
        )

        /** All named patterns. */
        val all = listOf(
            sharedCalm,
            sharedSurge,
            sharedHeavy,
            failingWorkers,
            slowWorkers,
            servingCrowd,
            largeFleet,
            larger(times = 4),
            larger(times = 16)
        )

        /**
         * Returns the pattern [name].
         *
         * @throws IllegalArgumentException if there is none of that name
         */
        fun named(name: String): Pattern = requireNotNull(namedOrNull(name)) {
            "no pattern $name, only ${all.joinToString { it.name }}"
        }

        /** Returns the pattern [name], or null if there is none of that name. */
        fun namedOrNull(name: String): Pattern? = all.find { it.name == name }
    }
}
