/** Renders docs/PROOFS.md from the proofs that the tests are marked with. */
package sycamoremast.integration.proof

/** The page on [proofs]; a test whose class and name both occur in [knownRed] counts as red. */
internal class ProofPage(
    private val proofs: List<Proof>,
    private val knownRed: String,
    private val planted: List<PlantedFault> = emptyList()
) {
    private val tests = proofs.map { it.test }.distinct()

    private data class Cell(val invariant: Invariant, val faultTag: String, val step: String)

    private val byCell = proofs.groupBy { Cell(it.invariant, it.faultTag, it.step) }

    /** Returns the text of the page. */
    fun render(): String = (
        listOf(introduction(), counts()) +
            Invariant.entries.map(::section) +
            listOf(plantedList(), testList())
        ).joinToString("\n\n") + "\n"

    private fun introduction() = """
        # What is proved

        Each table stands for one line of what must always hold. Its rows are faults, its columns
        the steps at which they strike. A cell lists the tests that prove the line there, by the
        numbers at the end of this page, or says that it is not proved. `red` marks a test that is
        listed in KNOWN-RED.txt.

        This page is generated from the marks `// Proves:` in the tests. `ProofsTest` fails if it
        differs from them; see docs/DEVELOPING.md for how to write it anew.
    """.trimIndent()

    private fun counts(): String {
        val cells = Invariant.entries.flatMap { invariant ->
            faultTags(invariant).flatMap { fault ->
                invariant.steps.map { Cell(invariant, fault, it) }
            }
        }
        val (proved, others) = cells.partition { it in byCell && !isRed(it) }
        val red = others.filter { it in byCell }
        val open = others.size - red.size
        return "Cells: ${proved.size} proved, $open not proved, ${red.size} red. " +
            "Tests: ${tests.size}."
    }

    private fun section(invariant: Invariant): String {
        val steps = invariant.steps
        val rows = faultTags(invariant).map { fault ->
            val cells = steps.map { cell(Cell(invariant, fault, it)) }
            "| $fault | " + cells.joinToString(" | ") + " |"
        }
        val header = listOf(
            "## ${invariant.tag}",
            "",
            invariant.text,
            "",
            "| fault | " + steps.joinToString(" | ") + " |",
            "|---|" + steps.joinToString("") { "---|" }
        )
        return (header + rows).joinToString("\n")
    }

    private fun faultTags(invariant: Invariant): List<String> {
        val pairs = proofs.filter { it.invariant == invariant && it.faults.size > 1 }
            .map { it.faultTag }
            .distinct()
            .sorted()
        return Fault.entries.filter { it != Fault.NONE }.map { it.tag } + pairs +
            listOf(Fault.NONE.tag)
    }

    private fun cell(cell: Cell): String {
        val cellProofs = byCell[cell] ?: return "not proved"
        val numbers = cellProofs.map { tests.indexOf(it.test) + 1 }.distinct().sorted()
        return numbers.joinToString() + if (isRed(cell)) " red" else ""
    }

    private fun isRed(cell: Cell) = byCell[cell].orEmpty().all { isRed(it.test) }

    private fun isRed(name: TestName) = name.testClass in knownRed && name.test in knownRed

    private fun plantedList(): String {
        val head = """
            ## Planted faults

            Each is planted alone, in test code. The tests fail unless their checks, which are those
            of the tables above, find every one, and print `planted=… caught=…` for each.
        """.trimIndent()
        val rows = planted.map { "| ${it.module} | ${it.list} | ${it.name} | ${it.text} |" }
        val table = listOf("| module | list | fault | what it does |", "|---|---|---|---|") + rows
        return "$head\n\nPlanted: ${planted.size}.\n\n" + table.joinToString("\n")
    }

    private fun testList(): String {
        val lines = tests.mapIndexed { i, name ->
            val red = if (isRed(name)) " (red)" else ""
            "${i + 1}. ${name.module}, ${name.testClass}: ${name.test}$red"
        }
        return "## Tests\n\n" + lines.joinToString("\n")
    }
}
