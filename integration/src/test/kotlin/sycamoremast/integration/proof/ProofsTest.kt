package sycamoremast.integration.proof

import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.createTempDirectory
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ProofsTest {
    private val root = Path.of("..")

    @Test
    fun `the page of proofs matches the tests`() {
        val knownRed = root.resolve("KNOWN-RED.txt").let { if (it.exists()) it.readText() else "" }
        val page = ProofPage(ProofReader.read(root), knownRed, PlantedReader.read(root)).render()
        val file = root.resolve("docs/PROOFS.md")
        if (System.getProperty("proofs.write") != null) file.writeText(page)
        expectThat(file.readText()).isEqualTo(page)
    }

    private val mark = markOf("one-place | kill + store-down | task-running")

    /** Builds a mark from two literals, so that [ProofReader] finds none in this file. */
    private fun markOf(text: String) = "// " + "Proves: $text\n"

    private fun read(source: String): List<Proof> {
        val directory = createTempDirectory("proofs")
        val sources = directory.resolve("daemon/src/test/kotlin").createDirectories()
        sources.resolve("BatchTest.kt").writeText(source)
        return ProofReader.read(directory)
    }

    @Test
    fun `assigns a mark to the next test`() {
        val proofs = read("$mark@Test\nfun `runs once`() {\n}\n@Test\nfun `other`() {\n}\n")
        expectThat(proofs.single()).isEqualTo(
            Proof(
                Invariant.ONE_PLACE,
                listOf(Fault.KILL, Fault.STORE_DOWN),
                "task-running",
                TestName("daemon", "BatchTest", "runs once")
            )
        )
        expectThat(ProofPage(proofs, "").render()).contains("Cells: 1 proved, ")
        expectThat(ProofPage(proofs, "BatchTest `runs once`").render()).contains(" 1 red.")
    }

    @Test
    fun `lists the planted faults with their effects`() {
        val planted = PlantedReader.read(root)
        expectThat(planted).contains(
            PlantedFault(
                "coordination",
                "PlantedBug",
                "FENCING_OFF",
                "a worker takes calls of any epoch"
            )
        )
        expectThat(ProofPage(emptyList(), "", planted).render())
            .contains("Planted: ${planted.size}.")
    }

    @Test
    fun `expands a mark with lists to all combinations`() {
        val lists = markOf("one-place, capacity | kill, kill + slow | task-running, task-placing")
        val cells = read("$lists@Test\nfun `x`() {\n")
            .map { "${it.invariant.tag} ${it.faultTag} ${it.step}" }
        val expected = listOf("one-place", "capacity").flatMap { invariant ->
            listOf("kill", "kill + slow").flatMap { faults ->
                listOf("task-running", "task-placing").map { "$invariant $faults $it" }
            }
        }
        expectThat(cells).isEqualTo(expected)
        val steps = read(markOf("capacity | kill | task-*") + "@Test\nfun `x`() {\n")
        expectThat(steps.map { it.step }).isEqualTo(Lifecycle.TASK.steps)
    }

    @Test
    fun `rejects malformed marks and marks with unknown names`() {
        val marks = listOf(
            "two-places | kill | task-running",
            "one-place | flood | task-running",
            "one-place | kill | request-received",
            "one-place",
            "one-place | kill | requests-*",
            "capacity | kill | lease-*",
            "one-place, | kill | task-running",
            "one-place | kill, | task-running",
            "one-place | kill | task-running,",
            "one-place + capacity | kill | task-running"
        )
        for (text in marks) {
            val error = assertThrows<IllegalArgumentException> {
                read(markOf(text) + "fun `x`() {\n")
            }
            expectThat(error.message).describedAs(text).isNotNull().contains("BatchTest.kt:")
        }
        assertThrows<IllegalArgumentException> { read(mark) }
    }
}
