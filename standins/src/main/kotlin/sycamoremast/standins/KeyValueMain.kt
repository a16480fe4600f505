/** The key-value service as a program: `--port=N`. */
package sycamoremast.standins

/** Runs the key-value service until the process is stopped. */
fun main(args: Array<String>) {
    val options = ProgramOptions.parse(args, setOf("port"))
    runUntilStopped(KeyValueServer.start(options.int("port", 0)))
}
