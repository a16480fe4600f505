/** What the owner knows of the runs of one task under which workers may have crashed. */
package sycamoremast.coordination.workflow

/**
 * Run number [run] of a task, which had lived for [livedMillis] when [workerId] lost contact at
 * [lostMillis].
 *
 * The run [isAlone] if no other workflow could have caused the crash, and it had lived no longer than
 * those before.
 */
internal class CrashedRun(
    val run: Int,
    val workerId: String,
    val lostMillis: Long,
    val livedMillis: Long,
    val isAlone: Boolean
) {
    /** Whether the worker is in another incarnation, or its lease has certainly lapsed. */
    var isConfirmed = false

    /** Whether the worker has ended, rather than being out of reach. */
    var hasEnded = false

    /** Whether other workers lost contact at about the same time, or null while that is open. */
    var isInTrouble: Boolean? = null

    /** Whether it has been taken account of, once all is known of it. */
    var isDecided = false
}

internal class CrashHistory {
    private val crashes = LinkedHashMap<Int, CrashedRun?>()

    /** The runs that count as crashed; of those that an earlier owner recorded, no more is known. */
    val runs: Set<Int> get() = crashes.keys

    /** The worker of each of these runs, or null if an earlier owner recorded the crash. */
    val runWorkers: Map<Int, String?> get() = crashes.mapValues { it.value?.workerId }

    /** The runs that count as crashed though the fleet's own trouble explains their crashes. */
    private val explainedRuns: Set<Int>
        get() = crashes.filter { (run, crash) ->
            if (crash == null) run in explainedBefore else crash.isInTrouble == true
        }.keys
    val explainedRunsOrNull: Set<Int>? get() = explainedRuns.takeIf { it.isNotEmpty() }
    private var explainedBefore = emptySet<Int>()
    val isUndecided: Boolean get() = crashes.values.any { it?.isDecided == false }

    /** Whether the task has crashed so many workers that its workflow fails. */
    var isGivenUp = false
        private set

    /** Whether as many crashes are known as a task may have, whatever explains them. */
    val isUsedUp: Boolean get() = crashes.size >= MAX_CRASHES

    /** Until when the task waits, at most, for the fleet to be free of trouble. */
    var heldUntilMillis = Long.MIN_VALUE

    /** Since when the next run has found no worker where it endangers little, or null. */
    var waitingSinceMillis: Long? = null

    /** Whether the next run is to start alone; the fleet's own trouble explains a single crash. */
    val needsTrial: Boolean
        get() = crashes.size > 1 || explainedRuns.size < crashes.size

    /** How long a run has to live to have outlived the crashed ones. */
    val trialMillis: Long
        get() {
            val longest = crashes.values.maxOf { it?.livedMillis ?: UNKNOWN_LIFE_MILLIS }
            return (longest + TRIAL_MARGIN_MILLIS).coerceIn(
                MIN_TRIAL_MILLIS,
                StartHold.ON_TRIAL.boundMillis
            )
        }

    /**
     * Restores the [recorded] runs, of which an earlier owner has [explained] some.
     *
     * It may have found no time to explain the last one, so only another crash uses up the credible
     * ones. Nor may it have found time to confirm that one, so the history doesn't tell whether the
     * task is given up if it [isUsedUp].
     */
    fun restore(recorded: Set<Int>, explained: Set<Int>) {
        recorded.forEach { crashes[it] = null }
        explainedBefore = explained
    }

    /** Gives the task up, of whose restored runs none has turned out to go on. */
    fun giveUp() {
        isGivenUp = true
    }

    fun add(crash: CrashedRun) {
        crashes[crash.run] = crash
    }

    fun remove(run: Int) {
        crashes -= run
    }

    /** Takes account of [crash], of which all is known now. */
    fun decide(crash: CrashedRun) {
        crash.isDecided = true
        val proofs = crashes.values.count {
            it != null && it.isAlone && it.hasEnded && it.isInTrouble == false
        }
        if (isExhausted || proofs >= PROVEN_CRASHES) isGivenUp = true
    }

    private val isExhausted: Boolean
        get() = isUsedUp || credibleCount >= MAX_CREDIBLE_CRASHES

    /** The number of crashes that the fleet's own trouble doesn't explain. */
    private val credibleCount: Int
        get() = crashes.count { (run, crash) ->
            if (crash == null) run !in explainedBefore else crash.isInTrouble == false
        }

    private companion object {
        /** Assumed of runs that an earlier owner recorded. */
        const val UNKNOWN_LIFE_MILLIS = 1_000L

        /** The shortest trial, and how much longer it takes than the crashed runs lived. */
        const val MIN_TRIAL_MILLIS = 300L
        const val TRIAL_MARGIN_MILLIS = 200L

        /** The number of credible crashes under the task alone that prove its guilt. */
        const val PROVEN_CRASHES = 2

        /** The number of credible crashes after which a task is given up without proof. */
        const val MAX_CREDIBLE_CRASHES = 4

        /** A task may start twice after three workers have crashed under it. */
        const val MAX_CRASHES = 5
    }
}
