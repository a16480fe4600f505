/**
 * Named load patterns: which workflows arrive, how many workers there are, and how they behave.
 *
 * The named patterns use the figures of the users' sheets on their deployments.
 */
package sycamoremast.emulator

/**
 * A load pattern: a fleet of [workers] and the workflows that arrive within [seconds].
 *
 * [servingReserve] is the share of the fleet's processors that serving tasks reserve; [heavyShare]
 * is the share of image pairs with heavy interference, and [lightLoad] the load that a neighbour of
 * any other pair adds by using the whole worker. [tailMillis] is the tail latency of a
 * serving task without load, and [targetFactor] the ratio of its target to that. Its load, relative
 * to its reservation, varies by [loadSwing] around [meanLoad] in a period of [periodSeconds].
 */
data class LoadPattern(
    val name: String,
    val workers: Int,
    val milliCpus: Long,
    val memoryMib: Long,
    val kinds: List<WorkflowKind>,
    val servingReserve: Double,
    val heavyShare: Double,
    val tailMillis: Double,
    val periodSeconds: Double,
    val meanLoad: Double = BKTIB_MEAN_LOAD,
    val loadSwing: Double = BKTIB_LOAD_SWING,
    val targetFactor: Double = BKTIB_TARGET_FACTOR,
    val lightLoad: Double = BKTIB_LIGHT_LOAD,
    val seconds: Int = 34,
    val surges: List<Surge> = emptyList(),
    val faultyWorkers: List<FaultyWorkers> = emptyList(),
    val departures: Departures? = null,
    val shrinkingWorkers: ShrinkingWorkers? = null,
    val deadlyTasks: DeadlyTasks? = null
) {
    /** The tail latency that serving tasks must stay below. */
    val targetMillis: Double get() = targetFactor * tailMillis

    companion object {
        private const val BKTIB_MEAN_LOAD = 0.52
        private const val BKTIB_LOAD_SWING = 0.4
        private const val BKTIB_TARGET_FACTOR = 5.0
        private const val BKTIB_LIGHT_LOAD = 0.07

        /** The ratio of reviews on a heavy day to those on a calm one. */
        private const val HEAVY_DAY = 1.8

        /** The ratio of the batch work in an overload to that of a dense fleet's usual day. */
        private const val OVERLOAD = 1.85

        /** The ratio of short work in a backlog to that of a calm day. */
        private const val BACKLOG = 12.0

        /** A calm day at BKTIB: serving tasks reserve most processors, reviews use idle ones. */
        val sharedCalm = LoadPattern(
            "shared-calm", 45, 32_000, 128_000, Workloads.inspections,
            servingReserve = 0.8, heavyShare = 0.35, tailMillis = 10.0, periodSeconds = 14.0
        )

        /** The calm day with 1.6 times the reviews for six seconds. */
        val sharedSurge = sharedCalm.copy(
            name = "shared-surge",
            surges = listOf(Surge("cert-review", 12, 6, 1.6))
        )

        /** A heavy day at BKTIB: more reviews, and nearly half of image pairs interfere heavily. */
        val sharedHeavy = sharedCalm.copy(
            name = "shared-heavy",
            kinds = Workloads.inspections.map {
                if (it.usesIdleCpu) it.copy(ratePerSecond = it.ratePerSecond * HEAVY_DAY) else it
            },
            heavyShare = 0.45,
            surges = listOf(Surge("cert-review", 8, 6, 1.5))
        )

        /** The calm day with four workers that fail each run for seven seconds. */
        val failingWorkers = sharedCalm.copy(
            name = "failing-workers",
            faultyWorkers = listOf(FaultyWorkers(4, 8, 7, failureRate = 1.0))
        )

        /** The calm day with eight workers that take 6.5 times as long for seven seconds. */
        val slowWorkers = sharedCalm.copy(
            name = "slow-workers",
            faultyWorkers = listOf(FaultyWorkers(8, 8, 7, slowdown = 6.5))
        )

        /** The calm day with a third of the workers leaving in turn, seven seconds after a notice. */
        val rollingDepartures = sharedCalm.copy(
            name = "rolling-departures",
            servingReserve = 0.5,
            departures = Departures(15, fromSecond = 12, intervalMillis = 300, noticeMillis = 7_000)
        )

        /** The calm day with a third of the workers leaving in turn without notice. */
        val suddenDepartures = rollingDepartures.copy(
            name = "sudden-departures",
            departures = Departures(15, fromSecond = 12, intervalMillis = 300, noticeMillis = 0)
        )

        /**
         * A third of the workers leave without notice while more short work arrives than the others
         * can do. No step has to run on more workers than are left.
         */
        val shrunkenFleet = suddenDepartures.copy(
            name = "shrunken-fleet",
            kinds = Workloads.inspections.map { it.copy(maxWidth = 24) },
            servingReserve = 0.4,
            surges = listOf(Surge("field-check", 8, 26, BACKLOG))
        )

        /** The calm day with a third of the workers shrunk below their serving tasks for a time. */
        val shrinkingCapacity = sharedCalm.copy(
            name = "shrinking-capacity",
            shrinkingWorkers = ShrinkingWorkers(
                15,
                fromSecond = 12,
                seconds = 8,
                share = 0.6,
                stopMillis = 150
            )
        )

        /** The calm day with a third of the field checks crashing each worker that starts them. */
        val deadlyChecks = sharedCalm.copy(
            name = "deadly-tasks",
            servingReserve = 0.6,
            deadlyTasks = DeadlyTasks(
                "field-check",
                share = 0.33,
                fromSecond = 5,
                untilSecond = 15,
                downMillis = 3_300
            )
        )

        /** The Regie's fleet with more serving tasks than fit; short tallies compete with them. */
        val servingCrowd = LoadPattern(
            "serving-crowd", 32, 64_000, 256_000, Workloads.fishCounts,
            servingReserve = 0.95, heavyShare = 0.35, tailMillis = 25.0, periodSeconds = 20.0
        )

        /**
         * Serving tasks reserve nearly all processors, and most batch tasks run longer than a
         * second beside serving tasks that half of the images would push over their target.
         */
        val sharedDense = LoadPattern(
            "shared-dense", 32, 64_000, 256_000, Workloads.repairs,
            servingReserve = 0.93, heavyShare = 0.55, tailMillis = 25.0, periodSeconds = 20.0,
            meanLoad = 0.48, loadSwing = 0.5, targetFactor = 6.0, lightLoad = 0.17,
            surges = listOf(Surge("reconciliation", 13, 6, 1.4))
        )

        /** The dense fleet with nearly twice the batch work, more than it can do in time. */
        val sharedOverload = sharedDense.copy(
            name = "shared-overload",
            kinds = Workloads.repairs.map {
                if (it.usesIdleCpu) it.copy(ratePerSecond = it.ratePerSecond * OVERLOAD) else it
            }
        )

        /** A large fleet: 425 workers and about 900 starts per second. */
        val largeFleet = LoadPattern(
            "large-fleet", 425, 32_000, 128_000, Workloads.manyInspections,
            servingReserve = 0.7, heavyShare = 0.35, tailMillis = 10.0, periodSeconds = 14.0,
            seconds = 14
        )

        /** Returns the large fleet with its workers and arrivals scaled up, for 6 s. */
        fun scaledLargeFleet(factor: Int): LoadPattern = largeFleet.copy(
            name = "large-fleet-x$factor",
            workers = largeFleet.workers * factor,
            kinds = Workloads.manyInspections.map {
                it.copy(
                    ratePerSecond =
                    it.ratePerSecond * factor
                )
            },
            seconds = 6
        )

        /** All named patterns, in the order in which the command runs them. */
        val all = listOf(
            sharedCalm,
            sharedSurge,
            sharedHeavy,
            failingWorkers,
            slowWorkers,
            rollingDepartures,
            suddenDepartures,
            shrunkenFleet,
            shrinkingCapacity,
            deadlyChecks,
            servingCrowd,
            sharedDense,
            sharedOverload,
            largeFleet,
            scaledLargeFleet(factor = 4),
            scaledLargeFleet(factor = 16)
        )

        /**
         * Returns the pattern named [name].
         *
         * @throws IllegalArgumentException if no pattern has that name
         */
        fun named(name: String): LoadPattern = requireNotNull(namedOrNull(name)) {
            "unknown pattern $name; known: ${all.joinToString { it.name }}"
        }

        /** Returns the pattern named [name], or null if no pattern has that name. */
        fun namedOrNull(name: String): LoadPattern? = all.find { it.name == name }
    }
}
