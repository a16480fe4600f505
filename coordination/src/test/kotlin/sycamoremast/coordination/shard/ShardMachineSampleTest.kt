package sycamoremast.coordination.shard

import arrow.core.Either
import arrow.core.right
import kotlin.time.Duration
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsKey
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.WatchListener
import sycamoremast.coordination.WorkerPort
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

class ShardMachineSampleTest {
    private var now = 0L
    private val clock = MonotonicClock {
        now += 5
        now
    }

    @Test
    fun `owns a shard and finishes a job without a daemon`() {
        val store = MapStore()
        val job = JobSpec(4, Resources(1_000, 1_000), expectedMillis = 200)
        val end = ShardMachineSample.ownShardUntilJobEnds(
            store,
            mapOf(LISTED to worker()),
            job,
            clock
        )
        expectThat(end.isOwner).isTrue()
        expectThat(end.document.jobs.single().state).isEqualTo(JobState.FINISHED)
        expectThat(store.entries).containsKey("app/owners/0")
    }

    private fun worker(): WorkerPort {
        val capacity = Resources(2_000, 2_000)
        val checker = InvariantChecker(0, { emptyList() }, { ANY_DOCUMENT }, emptySet())
        val worker = SimulatedWorker("w", capacity, 1.0, 1, emptySet(), checker) { false }
        return object : WorkerPort {
            override fun renew(renewal: LeaseRenewal) = worker.renew(renewal, now)

            override fun start(order: StartOrder) = worker.start(order, now)

            override fun control(taskId: String, epoch: Long, action: TaskAction) =
                worker.control(taskId, epoch, action, now)
        }
    }

    private class MapStore : KeyValueStore {
        val entries = HashMap<String, StoreEntry>()
        private var revision = 0L

        override fun get(key: String) = entries[key].right()

        override fun list(prefix: String) =
            StoreListing(entries.values.filter { it.key.startsWith(prefix) }, revision).right()

        override fun compareAndSwap(
            key: String,
            expected: Long,
            value: String,
            lease: LeaseId?
        ): Either<Nothing, SwapOutcome> {
            val current = entries[key]
            if ((current?.version ?: 0) != expected) return SwapOutcome.Conflict(current).right()
            entries[key] = StoreEntry(key, value, ++revision)
            return SwapOutcome.Applied(revision).right()
        }

        override fun compareAndDelete(key: String, expected: Long) =
            SwapOutcome.Conflict(entries[key]).right()

        override fun grantLease(ttl: Duration) = LeaseId(1).right()

        override fun keepAlive(lease: LeaseId) = true.right()

        override fun revokeLease(lease: LeaseId) = Unit.right()

        override fun watch(prefix: String, fromRevision: Long, listener: WatchListener) =
            AutoCloseable { }
    }

    private companion object {
        val LISTED =
            ListedHost("w", "127.0.0.1:1", "Gauja", "r", HostRole.WORKER, HostState.LIVE)
        val ANY_DOCUMENT = ShardDocument(
            jobs = listOf(
                JobRecord("team", "survey", 1, 4)
                    .ended(JobState.CANCELLED, "placeholder for any record")
            )
        )
    }
}
