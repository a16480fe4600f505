/**
 * Entry point of the host list: `--address=TEXT --port=N --lagMillis=N --file=PATH`.
 *
 * The file holds the initial list as JSON.
 */
package sycamoremast.standins

import java.io.File
import sycamoremast.coordination.ListedHost

/** Runs the host list until the process is terminated. */
fun main(args: Array<String>) {
    val options = ProgramOptions.parse(args, setOf("address", "port", "lagMillis", "file"))
    val server = HostListServer.start(
        options.int("port", 0),
        options.long("lagMillis", 0),
        options.string("address", LOOPBACK)
    )
    val file = options.string("file", "")
    if (file.isNotEmpty()) {
        server.setHosts(standInJson.decodeFromString<List<ListedHost>>(File(file).readText()))
    }
    runUntilStopped(server)
}
