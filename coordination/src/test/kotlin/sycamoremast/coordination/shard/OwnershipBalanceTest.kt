/** Counts the shards moved when the hosts of an availability zone change, in virtual time. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class OwnershipBalanceTest {
    /** An availability zone: its hosts, each with its own view, and the owners of its shards. */
    private class Zone(count: Int, names: List<String>) {
        private val shards = List(count) { "gauja/$it" }
        private val views = HashMap<String, OwnershipBalance>()
        val owners = MutableList(count) { names.first() }
        val live = names.toMutableSet()
        var moved = 0
        private var now = 0L

        fun run(seconds: Int) = repeat(seconds) {
            now += STEP_MILLIS
            for (host in live) {
                val view = views.getOrPut(host) { OwnershipBalance(host, shards, BalanceTiming()) }
                view.observe(live.toSet(), emptySet(), now)
                val owned = owners.indices.filter { owners[it] == host }
                view.pollHandOver(owned, now)?.let { take(it, view.preference(it).nextOwner(host)) }
            }
        }

        fun kill(host: String) {
            live -= host
            for (i in owners.indices.filter { owners[it] == host }) {
                val survivor = views.getValue(live.first())
                take(i, survivor.preference(i).nextOwner(host))
            }
        }

        private fun take(shard: Int, host: String?) {
            owners[shard] = host?.takeIf { it in live } ?: live.first()
            moved++
        }

        val largest get() = live.maxOf { host -> owners.count { it == host } }
    }

    @ParameterizedTest
    @CsvSource("2, 4", "3, 4", "3, 12", "4, 20", "7, 64")
    fun `spreads shards evenly and moves few of them`(hosts: Int, shards: Int) {
        val names = List(hosts) { "gauja-$it" }
        val zone = Zone(shards, names).apply { run(SETTLED_SECONDS) }
        expectThat(zone.largest).isEqualTo((shards + hosts - 1) / hosts)
        val moves = listOf(
            "spread" to { },
            "join" to { zone.live += "gauja-new" },
            "death" to { zone.kill("gauja-new") },
            "death of another" to { zone.kill(names.last()) },
            "replacement" to { zone.live += names.last() }
        ).map { (change, act) ->
            if (change != "spread") zone.moved = 0
            act()
            zone.run(SETTLED_SECONDS)
            expectThat(zone.largest).isEqualTo((shards + zone.live.size - 1) / zone.live.size)
            "$change=${zone.moved}"
        }
        println("balance hosts=$hosts shards=$shards moved: ${moves.joinToString(", ")}")
    }

    @Test
    fun `moves no shard because of a flapping host`() {
        val zone = Zone(12, List(3) { "gauja-$it" }).apply { run(SETTLED_SECONDS) }
        zone.moved = 0
        repeat(20) {
            zone.live += "gauja-flapping"
            zone.run(seconds = 6)
            zone.live -= "gauja-flapping"
            zone.run(seconds = 6)
        }
        expectThat(zone.moved).isEqualTo(0)
    }

    @Test
    fun `bounds the load of each host where plain rendezvous hashing exceeds it`() {
        val uneven = (0 until 100).count { zone ->
            val shards = List(12) { "zone-$zone/$it" }
            val hosts = setOf("a", "b", "c")
            val plain = shards.map { assignShards(listOf(it), hosts).single() }
            val bounded = assignShards(shards, hosts)
            expectThat(hosts.maxOf { host -> bounded.count { it == host } }).isEqualTo(4)
            hosts.maxOf { host -> plain.count { it == host } } > 5
        }
        println("balance of 12 shards on 3 hosts: plain hashing gives one more than 5 in $uneven %")
        expectThat(uneven).isLessThan(100)
    }

    private companion object {
        const val STEP_MILLIS = 1_000L
        const val SETTLED_SECONDS = 200
    }
}
