package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThanOrEqualTo

/** Tests of how long after the last disruption each kind of work runs again. */
class RestartCensusTest {
    private fun expectRestarts(
        loss: CensusLoss,
        works: List<CensusWork> = CensusWork.entries,
        seeds: LongRange = 1L..2
    ) {
        for (work in works) {
            for (seed in seeds) {
                val census = RestartCensus(seed, work, loss)
                val times = census.play()
                val case = "$work, $loss, seed $seed"
                expectThat(census.violations).describedAs(case).isEmpty()
                expectThat(times.afterLastMillis).describedAs(case)
                    .isLessThanOrEqualTo(BOUND_MILLIS)
            }
        }
    }

    @Test
    fun `restarts work in time after its worker is lost`() = expectRestarts(CensusLoss.WORKER)

    @Test
    fun `work goes on after the owner is lost`() = expectRestarts(CensusLoss.OWNER)

    // Guards against leases that outlast the heartbeats of a lost owner (LOST, issue 49).
    @Test
    fun `restarts work in time after its worker and the owner are lost`() =
        expectRestarts(CensusLoss.WORKER_AND_OWNER)

    @Test
    fun `restarts work in time after its worker is lost as the owner is stopped`() =
        expectRestarts(CensusLoss.WORKER_AND_STOPPED_OWNER)

    @Test
    fun `restarts work in time after three owners in a row are lost`() =
        expectRestarts(CensusLoss.WORKER_AND_OWNER_SERIES)

    @Test
    fun `restarts work in time after an outage of the store in which its worker is lost`() =
        expectRestarts(CensusLoss.STORE_AND_WORKER)

    // Guards against a successor that counts leases from its own start (LOST, issue 49).
    @Test
    fun `restarts work in time after an outage in which its worker and a standby are lost`() =
        expectRestarts(CensusLoss.STORE_AND_WORKER_AND_STANDBY)

    @Test
    fun `restarts work in time after an outage in which its worker and the owner are lost`() =
        expectRestarts(CensusLoss.STORE_AND_WORKER_AND_OWNER)

    // Guards against a successor that counts leases from its own start (LOST, issue 49).
    @Test
    fun `restarts a gang in time after an outage whose end a restarted host sees first`() =
        expectRestarts(
            CensusLoss.STORE_AND_WORKER_AND_OWNER,
            listOf(CensusWork.GANG),
            seeds = 14L..14
        )

    // Guards against a successor that doesn't ask the last owner's host (LOST, issue 49).
    @Test
    fun `restarts work in time after an outage in which all hosts are restarted in turn`() =
        expectRestarts(CensusLoss.STORE_AND_WORKER_AND_STOPS)

    // Guards against a successor that starts after the store's return and counts from that (LOST, issue 52).
    @Test
    fun `restarts work in time after an outage just before whose end its owner was stopped`() {
        for (seed in listOf(10L, 12L)) {
            expectRestarts(CensusLoss.STORE_AND_WORKER_AND_STOPS, seeds = seed..seed)
        }
    }

    @Test
    fun `work goes on in a zone that is cut off with the owner`() =
        expectRestarts(CensusLoss.ZONE_OF_OWNER)

    @Test
    fun `restarts work in time after a zone is cut off with the owner and the worker`() =
        expectRestarts(CensusLoss.ZONE_OF_OWNER_AND_WORKER)

    @Test
    fun `restarts work in time after all hosts and its worker are lost`() =
        expectRestarts(CensusLoss.ALL_HOSTS_AND_WORKER)

    // Guards against a wait for announced heartbeats of which nobody is left to tell (LOST, issue 52).
    @Test
    fun `restarts work in time after all hosts are lost and the owner's is gone`() =
        expectRestarts(CensusLoss.ALL_HOSTS_AND_WORKER_OWNER_GONE)

    // Guards against a bound that needs a process or host which the roster names (LOST, issue 52).
    @Test
    fun `restarts work in time after all hosts are replaced and its worker is lost`() =
        expectRestarts(CensusLoss.ALL_HOSTS_REPLACED_AND_WORKER)

    // Guards against a bound that needs workers which remember the last owner (LOST, issue 52).
    @Test
    fun `restarts work in time after all hosts are lost and half of the workers are reborn`() =
        expectRestarts(CensusLoss.ALL_HOSTS_AND_WORKER_HALF_REBORN)

    // Guards against a bound that needs a majority of the last owner's workers (LOST, issue 52).
    @Test
    fun `restarts work in time after hosts and most workers are lost and the owner's is gone`() =
        expectRestarts(CensusLoss.ALL_HOSTS_AND_MOST_WORKERS_OWNER_GONE)

    // Guards against leases counted from the store's return where nobody can tell (LOST, issue 52).
    @Test
    fun `restarts work in time after all hosts are lost in an outage and the owner's is gone`() =
        expectRestarts(CensusLoss.STORE_AND_WORKER_AND_ALL_HOSTS)

    // Guards against a successor that awaits the hosts that are gone, not the others (LOST, issue 52).
    @Test
    fun `restarts work in time after its worker is lost as two hosts are replaced`() =
        expectRestarts(CensusLoss.OWNER_AND_STANDBY_REPLACED_AND_WORKER)

    @Test
    fun `restarts work in time after its worker is reborn`() =
        expectRestarts(CensusLoss.REBORN_WORKER)

    @Test
    fun `restarts work in time after its worker is reborn and the owner is lost`() =
        expectRestarts(CensusLoss.REBORN_WORKER_AND_OWNER)

    private companion object {
        /** The calm that the platform's rules ask for, and how long work may be off then. */
        const val BOUND_MILLIS = 7_000L
    }
}
