/** The `--name=value` options of the stand-ins' entry points. */
package sycamoremast.standins

import java.util.concurrent.CountDownLatch

/** The parsed options of a stand-in. */
internal class ProgramOptions private constructor(private val values: Map<String, String>) {
    fun string(name: String, default: String): String = values[name] ?: default

    fun int(name: String, default: Int): Int = values[name]?.toInt() ?: default

    fun long(name: String, default: Long): Long = values[name]?.toLong() ?: default

    companion object {
        /**
         * Returns the options in [args].
         *
         * @throws IllegalArgumentException if an argument is not of the form `--name=value` or its
         *   name is not in [known].
         */
        fun parse(args: Array<String>, known: Set<String>): ProgramOptions {
            val values = args.associate { arg ->
                require(arg.startsWith("--") && '=' in arg) { "expected --name=value: $arg" }
                val name = arg.substring(2).substringBefore('=')
                require(name in known) { "unknown option --$name; known: ${known.sorted()}" }
                name to arg.substringAfter('=')
            }
            return ProgramOptions(values)
        }
    }
}

/** Blocks until the JVM shuts down, then closes [server]. */
internal fun runUntilStopped(server: AutoCloseable) {
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            server.close()
            stopped.countDown()
        }
    )
    stopped.await()
}
