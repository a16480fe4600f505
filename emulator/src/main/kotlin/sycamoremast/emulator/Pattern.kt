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
    val failShare: Double = 0.0
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
    companion object {
        /** Reviews of a heavy day over those of a calm one. */
        private const val HEAVY_DAY = 1.8

        private val bktibKinds = listOf(
            WorkKind(
                "field-check", 0, 2.1, 1.6, 6.0, 850.0, 0.5, 3_100.0, 6_200, 1.5, 250,
                maxAttempts = 2, failShare = 0.05
            ),
            WorkKind(
                "cert-review", 2, 5.0, 2.0, 8.0, 1_400.0, 0.5, 3_500.0, 6_400, 2.0, 1_000,
                usesIdleCpu = true, failShare = 0.05
            ),
            WorkKind(
                "slope-watch", 0, 0.15, 1.0, 6.0, 0.0, 0.0, 6_400.0, 13_000, 2.2, 2_500,
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
                "daily-tally", 0, 2.4, 1.6, 6.0, 680.0, 0.5, 4_600.0, 9_200, 1.5, 250,
                maxAttempts = 2, failShare = 0.05
            ),
            WorkKind(
                "species-review", 2, 3.0, 2.0, 8.0, 1_400.0, 0.5, 7_000.0, 13_000, 2.0, 1_000,
                usesIdleCpu = true, failShare = 0.02
            ),
            WorkKind(
                "watch-stream", 0, 0.1, 1.0, 6.0, 0.0, 0.0, 13_000.0, 26_000, 2.2, 2_500,
                isServing = true
            )
        )

        /** The Regie's fleet with more serving tasks than fit: short tallies need room beside them. */
        val servingCrowd = Pattern(
            "serving-crowd", 32, 64_000, 256_000, regieKinds,
            servingReserve = 0.95, heavyShare = 0.35, tailMillis = 25.0, swingSeconds = 20.0
        )

        /** All named patterns. */
        val all =
            listOf(sharedCalm, sharedSurge, sharedHeavy, failingWorkers, slowWorkers, servingCrowd)

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
