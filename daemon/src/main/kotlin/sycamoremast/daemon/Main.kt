/** The entry point of the daemon program: `sycamored --settings FILE [--check]`. */
package sycamoremast.daemon

import com.github.ajalt.clikt.core.main

/** Runs the daemon's command line. */
fun main(args: Array<String>) = DaemonCommand().main(args)
