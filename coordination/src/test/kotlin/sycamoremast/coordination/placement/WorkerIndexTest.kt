/** Tests the choice of workers for tasks. */
package sycamoremast.coordination.placement

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import sycamoremast.coordination.Resources

class WorkerIndexTest {
    private val index = WorkerIndex()

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `committed resources never exceed the capacity of a worker`(seed: Long) {
        val random = Random(seed)
        repeat(20) { addWorker("w$it", Resources(32_000, 64_000, it % 3L)) }
        repeat(2_000) {
            val need = Resources(random.nextLong(8_000), random.nextLong(9_000), it % 50L / 49)
            place(need)
            val worker = index.all.random(random)
            if (random.nextBoolean()) worker.release(worker.committed)
            expectThat(index.all).all { get { committed.fitsIn(capacity) }.isTrue() }
        }
    }

    @Test
    fun `finds the only worker with enough capacity`() {
        repeat(500) { addWorker("w$it", Resources(1_000, 1_000)) }
        val last = addWorker("last", Resources(9_000, 9_000))
        expectThat(place(Resources(5_000, 100))).isEqualTo(last)
        expectThat(place(Resources(5_000, 100))).isNull()
    }

    @Test
    fun `a closed, paused or reserved worker gets no ordinary tasks`() {
        val slot = addWorker("w", Resources(4_000, 4_000))
        slot.isOpen = false
        expectThat(place(SMALL)).isNull()
        slot.isOpen = true
        slot.pausedUntilMillis = NOW + 1
        expectThat(place(SMALL)).isNull()
        slot.pausedUntilMillis = NOW
        slot.reservedUntilMillis = NOW + 1
        expectThat(place(SMALL)).isNull()
        expectThat(index.choose(PlacementNeed(SMALL, isUrgent = true), NOW)).isEqualTo(slot)
    }

    @Test
    fun `spreads the tasks of a job over racks`() {
        repeat(9) { addWorker("w$it", Resources(4_000, 4_000), rack = "r${it % 3}") }
        val tasksByRack = HashMap<String, Int>()
        repeat(9) {
            val need = PlacementNeed(SMALL, rackLoad = { rack -> tasksByRack[rack] ?: 0 })
            val slot = index.choose(need, NOW) ?: error("no eligible worker")
            slot.commit(SMALL)
            tasksByRack.merge(slot.rack, 1, Int::plus)
        }
        expectThat(tasksByRack).isEqualTo(hashMapOf("r0" to 3, "r1" to 3, "r2" to 3))
    }

    @Test
    fun `prefers workers without accelerators for tasks that need none`() {
        addWorker("with", Resources(4_000, 4_000, 1))
        val without = addWorker("without", Resources(4_000, 4_000))
        repeat(4) { expectThat(place(SMALL)).isEqualTo(without) }
    }

    // Proves: capacity | none | task-placing
    @Test
    fun `examines as many workers for a choice among 10000 as among 1000`() {
        val examined = listOf(1_000, 10_000).map { workers ->
            val big = WorkerIndex()
            repeat(workers) { big.add(slot("w$it", Resources(32_000, 64_000), "r")) }
            repeat(1_000) { big.choose(PlacementNeed(SMALL), NOW)?.commit(SMALL) }
            big.examined / 1_000
        }
        expectThat(examined[1]).isLessThan(examined[0] + 5)
    }

    private fun place(need: Resources): WorkerSlot? =
        index.choose(PlacementNeed(need), NOW)?.also { it.commit(need) }

    private fun addWorker(name: String, capacity: Resources, rack: String = "r") =
        slot(name, capacity, rack).also { index.add(it) }

    private fun slot(name: String, size: Resources, rack: String) = WorkerSlot(name).apply {
        capacity = size
        this.rack = rack
        isOpen = true
    }

    private companion object {
        const val NOW = 1_000L
        val SMALL = Resources(1_000, 1_000)
    }
}
