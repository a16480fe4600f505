/** A daemon in a process of its own, with the calls that operators and callers make. */
package sycamoremast.integration

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.configuration.operator.StatusView
import sycamoremast.configuration.operator.SubmitView

/** The daemon of the entry host [name]. */
internal class EntryHostProcess(val name: String, settings: String) : AutoCloseable {
    private val file = settingsFile(name, settings)
    val process = JavaProcess.start(name, MAIN_CLASS, listOf("--settings", "$file"))
    val requests: TestHttp by lazy { TestHttp(process.address("requests")) }
    val operators: TestHttp by lazy { TestHttp(process.address("operators")) }

    fun awaitReady() = await("$name is ready", { process.output().joinToString("\n") }) {
        requests.getOrNull("/ready")?.status == 200
    }

    /** Waits until the host serves a request, for which it needs its share of the slots. */
    fun awaitServing() {
        var probes = 0
        await("$name serves requests", { process.output().joinToString("\n") }) {
            call(requests, Request("probe-$name-${probes++}")) == Outcome.WHOLE
        }
    }

    fun status(): StatusView = operators.get("/v1/status").read()

    fun jobs(): List<JobView> = operators.get("/v1/jobs").read()

    fun job(name: String): JobView? = jobs().find { it.job == name }

    fun problems(): List<ProblemView> = operators.get("/v1/problems").read()

    fun audit(): List<AuditView> = operators.get("/v1/audit").read()

    fun document(team: String): DocumentView = operators.get("/v1/teams/$team/configuration").read()

    /** Submits [text] on top of the revision [from]. */
    fun submit(team: String, from: Long, text: String): SubmitView = operators.send(
        "PUT",
        "/v1/teams/$team/configuration?from=$from",
        text,
        mapOf("X-Operator" to "liga")
    ).read()

    override fun close() = process.close()

    companion object {
        const val MAIN_CLASS = "sycamoremast.daemon.MainKt"

        /** Returns a new temporary file that contains [settings]. */
        fun settingsFile(name: String, settings: String): Path =
            Files.createTempFile("$name-", ".ini").apply {
                writeText(settings)
                toFile().deleteOnExit()
            }
    }
}
