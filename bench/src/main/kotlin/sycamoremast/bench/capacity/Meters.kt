/** Measures processor time and memory of pieces of code. */
package sycamoremast.bench.capacity

import java.lang.management.ManagementFactory
import java.lang.ref.Reference

private const val NANOS_PER_MICRO = 1000.0
private const val COLLECTIONS = 3
private const val SETTLE_MILLIS = 20L
private const val REPEATS = 5

/** Returns the processor time of this thread in [action], in microseconds. */
internal fun cpuMicros(action: () -> Unit): Double {
    val threads = ManagementFactory.getThreadMXBean()
    val start = threads.currentThreadCpuTime
    action()
    return (threads.currentThreadCpuTime - start) / NANOS_PER_MICRO
}

/** Returns the median processor time of [action] after [warmUps] runs that aren't counted. */
internal fun medianCpuMicros(warmUps: Int, action: () -> Unit): Double {
    repeat(warmUps) { action() }
    return List(REPEATS) { cpuMicros(action) }.sorted()[REPEATS / 2]
}

/** Returns the bytes of heap that the value of [build] keeps alive. */
internal fun retainedBytes(build: () -> Any): Double {
    val before = usedHeapBytes()
    val value = build()
    val after = usedHeapBytes()
    Reference.reachabilityFence(value)
    return (after - before).toDouble().coerceAtLeast(0.0)
}

private fun usedHeapBytes(): Long {
    repeat(COLLECTIONS) {
        System.gc()
        Thread.sleep(SETTLE_MILLIS)
    }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
