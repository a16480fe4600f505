package sycamoremast.integration

import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import sycamoremast.configuration.operator.ShardView

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PauseTest {
    // Proves: one-place | lease-lapsed-in-pause | task-running
    // Proves: resumed-once | lease-lapsed-in-pause | task-running
    // Proves: one-place | freeze | lease-held
    @Test
    fun `runs no task in two places after pausing the owner past its lease`() {
        Deployment(Layout(daemonsPerZone = 2)).use { deployment ->
            deployment.submit(bktib { survey("survey", tasks = 4, expected = 6.seconds) })
            await("all tasks run", deployment::logs) { deployment.platform.runs().size >= 4 }
            val owner = eventually("a shard has an owner") {
                deployment.daemons.find { shard(it) != null }
            }
            val other = deployment.daemons.first { it != owner }
            val epoch = shard(owner)?.epoch ?: 0
            expectThat(timed("the owner runs") { other.job("survey") }?.tasksRunning).isEqualTo(4)
            owner.process.pause()
            val view = timed("the owner is paused") { other.job("survey") }
            expectThat(view?.state).isNotEqualTo("accepted")
            val next = eventually("the other takes over", deployment::logs) { shard(other) }
            expectThat(next.epoch).isNotEqualTo(epoch)
            owner.process.resume()
            deployment.awaitJob(other, "survey", "finished")
            expectFinishedOnce(deployment.platform.runs(), "survey", tasks = 4)
            await("the paused owner gives up", deployment::logs) { shard(owner) == null }
            expectThat(deployment.awaitJob(owner, "survey", "finished").tasksFinished).isEqualTo(4)
        }
    }

    private fun <T> timed(circumstance: String, call: () -> T): T {
        val (value, time) = measureTimedValue(call)
        println("jobs-view through another host: $circumstance time=$time view=$value")
        return value
    }

    private fun shard(daemon: EntryHostProcess): ShardView? =
        daemon.status().shards.find { it.owner.startsWith(daemon.name) }
}
