/** The program of an entry host: `sycamored --settings FILE [--check]`. */
package sycamoremast.daemon

import com.github.ajalt.clikt.core.main

/** Runs the daemon. */
fun main(args: Array<String>) = DaemonCommand().main(args)
