/**
 * Entry point of the workers: `--port=N --workers=N --name=TEXT --rack=TEXT --milliCpus=N`
 * `--memoryMib=N --accelerators=N --usageLagMillis=N`.
 */
package sycamoremast.standins

import sycamoremast.coordination.Resources

private val WORKER_OPTIONS = setOf(
    "port",
    "workers",
    "name",
    "rack",
    "milliCpus",
    "memoryMib",
    "accelerators",
    "usageLagMillis"
)

/** Runs the workers until the process is terminated. */
fun main(args: Array<String>) {
    val options = ProgramOptions.parse(args, WORKER_OPTIONS)
    val defaults = WorkerSettings()
    val settings = WorkerSettings(
        port = options.int("port", 0),
        workers = options.int("workers", 1),
        name = options.string("name", defaults.name),
        rack = options.string("rack", defaults.rack),
        capacity = Resources(
            options.long("milliCpus", defaults.capacity.milliCpus),
            options.long("memoryMib", defaults.capacity.memoryMib),
            options.long("accelerators", defaults.capacity.accelerators)
        ),
        usageLagMillis = options.long("usageLagMillis", defaults.usageLagMillis)
    )
    runUntilStopped(WorkerServer.start(settings))
}
