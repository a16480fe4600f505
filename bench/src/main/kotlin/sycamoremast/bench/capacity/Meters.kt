/** Meters for the CPU time and the heap use of a block of code. */
package sycamoremast.bench.capacity

import java.lang.management.ManagementFactory
import java.lang.ref.Reference

private const val NANOS_PER_MICRO = 1000.0
private const val GC_RUNS = 3
private const val SETTLE_MILLIS = 20L
private const val MEASURED_RUNS = 5

/** Runs [action] and returns the CPU time that this thread spent in it, in microseconds. */
internal fun cpuMicros(action: () -> Unit): Double {
    val threads = ManagementFactory.getThreadMXBean()
    val start = threads.currentThreadCpuTime
    action()
    return (threads.currentThreadCpuTime - start) / NANOS_PER_MICRO
}

/** Returns the median CPU time of [action] in microseconds, after [warmUps] unmeasured runs. */
internal fun medianCpuMicros(warmUps: Int, action: () -> Unit): Double {
    repeat(warmUps) { action() }
    return List(MEASURED_RUNS) { cpuMicros(action) }.sorted()[MEASURED_RUNS / 2]
}

/** Returns the number of heap bytes retained by the value that [build] creates. */
internal fun retainedBytes(build: () -> Any): Double {
    val before = usedHeapBytes()
    val value = build()
    val after = usedHeapBytes()
    Reference.reachabilityFence(value)
    return (after - before).toDouble().coerceAtLeast(0.0)
}

/** Returns the heap in use after repeated garbage collections. */
private fun usedHeapBytes(): Long {
    repeat(GC_RUNS) {
        System.gc()
        Thread.sleep(SETTLE_MILLIS)
    }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
