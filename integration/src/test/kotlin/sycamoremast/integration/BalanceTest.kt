package sycamoremast.integration

import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout

@Timeout(value = 120, unit = TimeUnit.SECONDS)
class BalanceTest {
    // Proves: one-place | planned-stop | task-running
    // Proves: resumed-once | planned-stop | task-running
    @Test
    fun `balances shards over the daemons of a zone while a job runs and after a kill`() {
        Deployment(Layout(daemonsPerZone = 3, workersPerZone = 6, shards = 3)).use { deployment ->
            deployment.submit(bktib { survey("survey", tasks = 2, expected = 25.seconds) })
            await("every daemon owns one shard", deployment::logs) {
                deployment.daemons.all { it.status().shards.size == 1 }
            }
            deployment.awaitJob(deployment.daemons.first(), "survey", "finished")
            expectFinishedOnce(deployment.platform.runs(), "survey", tasks = 2)
            deployment.daemons.first().process.kill()
            await("the other daemons own all shards", deployment::logs) {
                deployment.daemons.drop(1).sumOf { it.status().shards.size } == 3
            }
        }
    }
}
