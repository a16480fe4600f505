/** The entry point of the emulator. */
package sycamoremast.emulator

import com.github.ajalt.clikt.core.main

/** Runs the command. */
fun main(args: Array<String>) = EmulateCommand().main(args)
