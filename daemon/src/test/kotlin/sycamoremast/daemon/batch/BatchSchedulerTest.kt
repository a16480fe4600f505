/** Runs the batch schedulers of several daemons against in-memory fakes of the platform. */
package sycamoremast.daemon.batch

import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.Repeat
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.coordination.HostList
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.membership.MemberState
import sycamoremast.coordination.shard.BalanceTiming
import sycamoremast.daemon.control.AppliedConfiguration
import sycamoremast.daemon.control.ConfigurationView
import sycamoremast.daemon.control.Member
import sycamoremast.daemon.control.MembershipView
import sycamoremast.daemon.control.ProblemKind
import sycamoremast.daemon.control.ProblemReporter
import sycamoremast.daemon.request.PeerHub

class BatchSchedulerTest {
    private val clock = MonotonicClock.system()
    private val store = FakeStore(clock)
    private var workers = listOf(FakeWorker("w1", clock), FakeWorker("w2", clock))
    private val problems = RecordedProblems()
    private val hub = PeerHub()
    private val live = CopyOnWriteArraySet<String>()
    private val started = mutableListOf<BatchScheduler>()

    @AfterEach
    fun stopAll() = started.forEach { it.stop() }

    @Test
    fun `runs every task of a job once and records the job as finished`() {
        val batch = daemon("a", job("survey", tasks = 20))
        await { batch.jobs("nets").single().state == "finished" }
        expectThat(batch.jobs("nets").single().tasksFinished).isEqualTo(20)
        expectThat(workers.flatMap { it.completedRuns }.sorted())
            .isEqualTo((0 until 20).map { "nets/survey/$it" }.sorted())
    }

    // Proves: one-place | planned-stop | task-running
    @Test
    fun `tasks keep running while another daemon takes over the shard`() {
        val job = job("survey", tasks = 4, workMillis = 4_000)
        val first = daemon("a", job)
        await { workers.sumOf { it.runningTasks().size } == 4 }
        val second = daemon("b", job)
        first.stop()
        await { second.shards().isNotEmpty() }
        await { second.jobs("nets").single().state == "finished" }
        expectThat(workers.flatMap { it.completedRuns }).hasSize(4)
    }

    // Proves: one-place | cut-both-ways | lease-held
    // Proves: resumed-once | cut-both-ways | lease-held
    @Test
    fun `a task of an unreachable worker runs elsewhere after the lease expires`() {
        val batch = daemon("a", job("survey", tasks = 2, workMillis = 1_500))
        await { workers.sumOf { it.runningTasks().size } == 2 }
        val lost = workers.first { it.runningTasks().isNotEmpty() }
        lost.isReachable = false
        await { batch.jobs("nets").single().state == "finished" }
        expectThat((workers - lost).single().completedRuns).hasSize(2)
        expectThat(lost.completedRuns).isEmpty()
    }

    // Proves: resumed-once | kill | task-running
    @Test
    fun `reports a never-repeated task of a lost worker as unknown and does not rerun it`() {
        val invoice = job("invoice", tasks = 1, workMillis = 2_000).copy(repeat = Repeat.NEVER)
        val batch = daemon("a", invoice)
        await { workers.any { it.runningTasks().isNotEmpty() } }
        workers.first { it.runningTasks().isNotEmpty() }.isReachable = false
        await { batch.jobs("nets").single().state == "unknown" }
        await { problems.raised.isNotEmpty() }
        expectThat(problems.raised).containsExactly(ProblemKind.UNKNOWN to "nets/invoice/0")
        expectThat(workers.sumOf { it.runningTasks().size }).isEqualTo(0)
    }

    // Proves: resumed-once | none | task-running
    @Test
    fun `a cancelled job's tasks stop and it stays cancelled`() {
        val batch = daemon("a", job("survey", tasks = 8, workMillis = 60_000))
        await { workers.sumOf { it.runningTasks().size } == 8 }
        val view = batch.cancel("nets", "survey", "zane").getOrNull()
        expectThat(view?.state).isEqualTo("cancelled")
        await { workers.sumOf { it.runningTasks().size } == 0 }
        expectThat(batch.jobs("nets").single().state).isEqualTo("cancelled")
    }

    // Proves: one-place | planned-stop | lease-held
    // Proves: resumed-once | planned-stop | lease-held
    @Test
    fun `a joining daemon takes over its share of the shards while tasks keep running`() {
        workers = List(8) { FakeWorker("w$it", clock) }
        val jobs = Array(8) { job("survey-$it", tasks = 1, workMillis = 6_000) }
        val first = daemon("a", *jobs, shards = 4)
        await { workers.sumOf { it.runningTasks().size } == 8 }
        expectThat(first.shards()).hasSize(4)
        val second = daemon("b", *jobs, shards = 4)
        await { first.shards().size == 2 && second.shards().size == 2 }
        await { second.jobs("nets").all { it.state == "finished" } }
        expectThat(workers.flatMap { it.completedRuns }).hasSize(8)
        expectThat(first.shards() + second.shards()).hasSize(4)
    }

    @Test
    fun `every host shows the owner's running tasks, or why the owner did not report them`() {
        val job = job("survey", tasks = 4, workMillis = 60_000)
        val owner = daemon("a", job)
        await { owner.jobs("nets").single().tasksRunning == 4 }
        val other = daemon("b", job)
        expectThat(other.jobs("nets")).isEqualTo(owner.jobs("nets"))

        hub.silent += "a"
        val unconfirmed = other.jobs("nets").single()
        expectThat(unconfirmed) {
            get { state }.isEqualTo("unconfirmed")
            get { tasksRunning }.isNull()
            get { reason }.contains("a could not be asked: no answer")
            get { viewAgeMillis }.isNotNull()
        }
        hub.silent -= "a"
        hub.isCut = true
        expectThat(other.jobs("nets").single().reason).contains("not connected")
        store.isDown = true
        expectThat(other.jobs("nets").single().state).isEqualTo("unconfirmed")
        expectThat(owner.jobs("nets").single().tasksRunning).isEqualTo(4)
        hub.isCut = false
        expectThat(other.jobs("nets").single().tasksRunning).isEqualTo(4)
    }

    private fun job(name: String, tasks: Int, workMillis: Long = 50) = Job(
        name = name,
        availabilityZone = "Gauja",
        tasks = tasks,
        milliCpus = 1_000,
        memoryMib = 500,
        expected = workMillis.milliseconds
    )

    private fun daemon(host: String, vararg jobs: Job, shards: Int = 1): BatchScheduler {
        val ports = BatchPorts(
            configuration = FixedConfiguration(jobs.toList()),
            membership = TestMembership(host, live),
            peers = hub.networkOf(host),
            store = store,
            hosts = HostList { workers.map { listing(it.name) }.right() },
            worker = { listed -> workers.first { it.name == listed.name } },
            problems = problems,
            audit = { },
            meters = SimpleMeterRegistry(),
            clock = clock
        )
        val settings = BatchSettings(
            workerLeaseMillis = 1_000,
            heartbeatMillis = 100,
            ownerLeaseMillis = 1_000,
            marginMillis = 100,
            shards = shards,
            balance = BalanceTiming(settleMillis = 500, intervalMillis = 200)
        )
        live += host
        return batchScheduler(ports, settings).also {
            started += it
            it.start()
        }
    }

    private fun listing(name: String) =
        ListedHost(name, "127.0.0.1:1", "Gauja", "rack", HostRole.WORKER, HostState.LIVE)

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + 30.seconds.inWholeNanoseconds
        while (!condition()) {
            check(System.nanoTime() < end) { "the condition was not met within 30 s" }
            Thread.sleep(10)
        }
    }
}

private class FixedConfiguration(jobs: List<Job>) : ConfigurationView {
    private val applied = AppliedConfiguration(
        "nets",
        1,
        TeamConfiguration("nets", Quota(1_000_000, 1_000_000), jobs = jobs)
    )

    override fun inForce() = mapOf("nets" to applied)

    override fun onApplied(listener: (AppliedConfiguration) -> Unit) = listener(applied)
}

private class TestMembership(host: String, private val live: Set<String>) : MembershipView {
    override val self = member(host)

    override fun members() = live.map(::member)

    private fun member(host: String) = Member(host, "Gauja", 1, "127.0.0.1:2", MemberState.LIVE)
}

private class RecordedProblems : ProblemReporter {
    val raised = mutableListOf<Pair<ProblemKind, String>>()

    @Synchronized
    override fun raise(kind: ProblemKind, subject: String, evidence: String) {
        raised += kind to subject
    }

    override fun clear(kind: ProblemKind, subject: String) = Unit
}
