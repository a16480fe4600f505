/** A program of the project as a process of its own, started from the tests' class path. */
package sycamoremast.integration

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.readLines

/** A running Java process; closing it kills it. */
internal class JavaProcess private constructor(
    val name: String,
    private val process: Process,
    private val log: Path
) : AutoCloseable {
    val isAlive: Boolean get() = process.isAlive

    /** Returns the lines of standard output and error so far. */
    fun output(): List<String> = log.readLines()

    /** Waits until the process listens for [kind] and returns that address. */
    fun address(kind: String): String {
        val prefix = "event=listening kind=$kind address="
        return eventually("$name listens for $kind", ::describe) {
            check(isAlive) { describe() }
            output().firstOrNull { prefix in it }?.substringAfter(prefix)?.substringBefore(' ')
        }
    }

    /** Sends SIGTERM. */
    fun terminate() {
        process.destroy()
    }

    /** Sends SIGKILL and waits for the process to exit. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGSTOP. */
    fun pause() = signal("STOP")

    /** Sends SIGCONT. */
    fun resume() = signal("CONT")

    /** Waits for the process to exit and returns its exit code. */
    fun awaitExit(): Int {
        check(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) { "$name did not exit in time" }
        return process.exitValue()
    }

    override fun close() = kill()

    private fun signal(name: String) {
        val sent = ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor()
        check(sent == 0) { "could not send $name to ${this.name}" }
    }

    private fun describe() = "$name printed:\n" + output().takeLast(SHOWN_LINES).joinToString("\n")

    companion object {
        private const val EXIT_SECONDS = 30L
        private const val SHOWN_LINES = 30
        private const val DAEMON_HEAP_MIB = 128
        private val logs = Path.of("target", "process-logs").createDirectories()

        /** Starts [mainClass] with [args]; [name] appears in messages and log file names. */
        fun start(
            name: String,
            mainClass: String,
            args: List<String>,
            heapMib: Int = DAEMON_HEAP_MIB
        ): JavaProcess {
            val log = Files.createTempFile(logs, "$name-", ".log")
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val flags = listOf(
                "-Xmx${heapMib}m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path")
            )
            val process = ProcessBuilder(listOf(java) + flags + mainClass + args)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start()
            return JavaProcess(name, process, log)
        }
    }
}
