/** Entry point of the backend server: `--port=N --slots=N --connections=N --workMillis=N`. */
package sycamoremast.standins

private val BACKEND_OPTIONS = setOf("port", "slots", "connections", "workMillis")

/** Runs the backend server until the process is terminated. */
fun main(args: Array<String>) {
    val options = ProgramOptions.parse(args, BACKEND_OPTIONS)
    val defaults = BackendSettings()
    val settings = BackendSettings(
        port = options.int("port", 0),
        slots = options.int("slots", defaults.slots),
        connections = options.int("connections", defaults.connections),
        workMillis = options.long("workMillis", defaults.workMillis)
    )
    runUntilStopped(BackendServer.start(settings))
}
