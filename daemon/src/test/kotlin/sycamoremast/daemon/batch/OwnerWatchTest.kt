/** How a standby host observes the owners of the shards in its availability zone. */
package sycamoremast.daemon.batch

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import sycamoremast.coordination.StoreEntry
import sycamoremast.daemon.platform.HttpKeyValueStore
import sycamoremast.daemon.platform.PlatformTimeouts
import sycamoremast.daemon.platform.platformHttpClient
import sycamoremast.standins.KeyValueServer

class OwnerWatchTest {
    private val keys = (0..1).map { ShardId("gauja", it).ownerKey }

    @Test
    fun `reports the end of an owner's lease without listing the keys again`() {
        KeyValueServer.start().use { server ->
            val http = platformHttpClient(PlatformTimeouts(800.milliseconds, 500.milliseconds))
            val store = HttpKeyValueStore.at("127.0.0.1:${server.port}", http, 10.seconds)
            val lease = checkNotNull(store.grantLease(60.seconds).getOrNull())
            store.compareAndSwap(keys[0], StoreEntry.ABSENT, "entry-1", lease)
            val seen = ConcurrentHashMap<String, Boolean>()
            val prefix = ShardId.ownersPrefix("gauja")
            OwnerWatch(store, prefix, keys.toSet(), seen::put).use { watch ->
                watch.refresh()
                expectThat(seen.toMap()).isEqualTo(mapOf(keys[0] to true, keys[1] to false))
                store.revokeLease(lease)
                await { seen[keys[0]] == false }
            }
        }
    }

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + 10.seconds.inWholeNanoseconds
        while (!condition()) {
            check(System.nanoTime() < end) { "the change was not observed within 10 s" }
            Thread.sleep(10)
        }
    }
}
