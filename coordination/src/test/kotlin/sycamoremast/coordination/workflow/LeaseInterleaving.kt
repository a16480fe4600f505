/**
 * One course of events around a worker that restarts silently between two owners, as [choices] tell.
 *
 * The first owner reaches only w1, which restarts; the next one reaches only w2 until leases have to
 * have lapsed. The choices are the times of the restart and of the owner's loss, whether the owner is
 * killed or goes on without the store, and what becomes of each of the first calls to w1 from its
 * end on.
 */
package sycamoremast.coordination.workflow

internal class LeaseInterleaving(
    private val choices: ChoicePaths,
    maxLeaseMillis: Long,
    /** How late calls may be carried out, by whichever incarnation is up. */
    lateMillis: List<Long>
) : StrayOrderWorld(
    SchedulerSettings.within(maxLeaseMillis, SchedulerSettings.DEFAULT_STOP_MILLIS)
) {
    private val first = ModelHost("h1", this, PER_MILLE)
    private val next = ModelHost("h2", this, PER_MILLE)
    override val hosts = listOf(first, next)
    private val worker = ModelWorker(
        WorkerRef("w1", "10.0.0.1:1"),
        WORK_MILLIS,
        SLOWEST_PER_MILLE,
        maxLeaseMillis
    )
    private val other = ModelWorker(
        WorkerRef("w2", "10.0.0.2:1"),
        WORK_MILLIS,
        PER_MILLE,
        maxLeaseMillis
    )
    private var chosenCalls = 0
    private val fates = listOf(CallFate.Prompt, CallFate.Lost) + lateMillis.map(CallFate::Late)

    fun play() {
        begin(workflow("lasting", 1, isLongRunning = true, now))
        addWorker(worker)
        addWorker(other)
        cut(first.name, other.ref.id, END_MILLIS)
        first.start()
        time.at(NEXT_START_MILLIS) { next.start() }
        val endsMillis = RESTART_MILLIS + PHASES_MILLIS.chosen()
        val downMillis = DOWN_MILLIS.chosen()
        for (millis in JOBS_MILLIS) {
            time.at(endsMillis + millis) {
                store.accept(workflow("job$millis", 1, isLongRunning = false, now))
            }
        }
        time.at(endsMillis) { restart(worker, downMillis, LISTING_MILLIS) }
        val lossMillis = endsMillis + downMillis + UNTIL_LOSS_MILLIS.chosen()
        val isKilled = choices.choose(2) == 0
        time.at(lossMillis) { loseOwner(isKilled) }
        observe(END_MILLIS)
        time.playUntil(END_MILLIS)
        monitor.checkEnds()
    }

    private fun List<Long>.chosen() = this[choices.choose(size)]

    private fun loseOwner(isKilled: Boolean) {
        log(if (isKilled) "h1 is killed" else "h1 loses the store")
        cut(next.name, worker.ref.id, CUT_MILLIS)
        if (isKilled) first.kill() else cut(first.name, HostWorld.STORE, END_MILLIS)
        cut(first.name, next.name, END_MILLIS)
        cut(next.name, first.name, END_MILLIS)
    }

    override fun fateOf(host: String, order: WorkerOrder): CallFate {
        val isChosen = order.worker == worker.ref && worker.incarnation > 1
        if (!isChosen || chosenCalls >= CHOSEN_CALLS) return CallFate.Prompt
        chosenCalls++
        return fates[choices.choose(fates.size)]
    }

    override fun delayMillis(): Long = DELAY_MILLIS

    companion object {
        private const val PER_MILLE = 1_000L
        private const val SLOWEST_PER_MILLE = 980L

        /** Longer than any lease, so that only the end of a lease ends a run. */
        private const val WORK_MILLIS = 30_000L
        private const val NEXT_START_MILLIS = 500L
        private const val RESTART_MILLIS = 3_000L

        /** Parts of the time between two polls. */
        private val PHASES_MILLIS = listOf(0L, 250L, 500L, 750L)
        private val DOWN_MILLIS = listOf(300L, 700L)

        /** When jobs are accepted, from the end of the first incarnation on. */
        private val JOBS_MILLIS = listOf(-20L, 100L)
        private val UNTIL_LOSS_MILLIS = listOf(50L, 400L, 1_500L)

        /** The platform's entry shows the restart after the last choice. */
        private const val LISTING_MILLIS = 2_500L
        private const val CUT_MILLIS = 9_500L
        private const val DELAY_MILLIS = 5L
        private const val END_MILLIS = 18_000L
        private const val CHOSEN_CALLS = 4
    }
}
