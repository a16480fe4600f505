/** Measures the time per placement of an owner of a thousand and of ten thousand workers. */
package sycamoremast.coordination.shard

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import sycamoremast.coordination.Resources
import sycamoremast.coordination.record.JobSpec

class DecisionTimeTest {
    @ParameterizedTest
    @ValueSource(ints = [1_000, 1_000, 10_000])
    fun `places every task of a full shard within the capacity of its workers`(workers: Int) {
        val shard = AnsweredShard(workers)
        val jobs = (0 until JOBS).associate { "job$it" to spec(workers * TASKS_PER_WORKER / JOBS) }
        shard.deliver(ShardEvent.JobsListed("team", 1, jobs))
        val begin = System.nanoTime()
        shard.deliver(ShardEvent.Tick)
        shard.answerUntil { shard.starts >= workers * TASKS_PER_WORKER }
        val micros = (System.nanoTime() - begin) / NANOS_PER_MICRO / shard.starts
        println("decision-time workers=$workers starts=${shard.starts} microsPerStart=$micros")
        expectThat(shard.starts).isEqualTo(workers * TASKS_PER_WORKER)
    }

    @ParameterizedTest
    @ValueSource(ints = [1_000, 1_000, 10_000])
    fun `processes worker answers while a task that fits nowhere is waiting`(workers: Int) {
        val shard = AnsweredShard(workers)
        val tasks = workers * TASKS_PER_WORKER
        shard.deliver(ShardEvent.JobsListed("team", 1, mapOf("short" to spec(tasks))))
        shard.answerUntil { shard.starts >= tasks }
        val idle = microsPerHeartbeat(shard)
        val whole = JobSpec(1, Resources(32_000, 64_000), expectedMillis = 10)
        shard.deliver(ShardEvent.JobsListed("other", 1, mapOf("whole" to whole)))
        val waiting = microsPerHeartbeat(shard)
        println("heartbeat workers=$workers micros=$idle microsWithTaskWaiting=$waiting")
        expectThat(shard.starts).isEqualTo(tasks)
    }

    /** Returns the shortest time taken to process one heartbeat's answers of all workers. */
    private fun microsPerHeartbeat(shard: AnsweredShard) = (1..HEARTBEATS).minOf {
        val begin = System.nanoTime()
        shard.answerAll(HEARTBEAT_MILLIS)
        (System.nanoTime() - begin) / NANOS_PER_MICRO
    }

    private fun spec(tasks: Int) = JobSpec(tasks, Resources(8_000, 8_000), expectedMillis = 10)

    private companion object {
        const val JOBS = 20
        const val HEARTBEATS = 20
        const val HEARTBEAT_MILLIS = 500L
        const val TASKS_PER_WORKER = 4
        const val NANOS_PER_MICRO = 1_000
    }
}
