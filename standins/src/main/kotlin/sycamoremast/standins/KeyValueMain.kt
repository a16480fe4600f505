/** Entry point of the key-value service: `--address=TEXT --port=N`. */
package sycamoremast.standins

/** Runs the key-value service until the process is terminated. */
fun main(args: Array<String>) {
    val options = ProgramOptions.parse(args, setOf("address", "port"))
    runUntilStopped(
        KeyValueServer.start(options.int("port", 0), options.string("address", LOOPBACK))
    )
}
