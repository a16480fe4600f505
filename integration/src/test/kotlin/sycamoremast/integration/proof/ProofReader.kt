/**
 * Reads from the test sources what each test proves.
 *
 * A test is marked with lines `// Proves: invariant | fault | step` above its annotation; faults
 * that occur together are joined by `+`. Each of the three can be a comma-separated list; the mark
 * then stands for all combinations. `task-*` stands for all steps of that lifecycle. A mark with an
 * unknown name, or without a following test, is an error.
 */
package sycamoremast.integration.proof

import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.name
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readLines
import kotlin.io.path.walk

internal object ProofReader {
    private val MARK = Regex("""\s*// Proves: ([^|+ ][^|+]*) \| ([^|]+) \| ([^|+]*[^|+ ])""")
    private val TEST = Regex("""\s*fun `([^`]+)`\(.*""")

    /** Returns the proofs in all modules below [root], in order of module, class and line. */
    @OptIn(ExperimentalPathApi::class)
    fun read(root: Path): List<Proof> = root.walk()
        .filter { it.name.endsWith("Test.kt") && "src/test/kotlin" in "$it" }
        .filter { "target" !in root.relativize(it).map(Path::name) }
        .sortedBy { "${root.relativize(it)}" }
        .flatMap { read(it, module = root.relativize(it).first().name) }
        .toList()

    private fun read(file: Path, module: String): List<Proof> {
        val proofs = mutableListOf<Proof>()
        val marks = mutableListOf<MatchResult>()
        for ((i, line) in file.readLines().withIndex()) {
            val where = "$file:${i + 1}"
            if ("// Proves" in line) {
                marks += requireNotNull(MARK.matchEntire(line)) { "$where: malformed mark: $line" }
            }
            val test = TEST.matchEntire(line)?.groupValues?.get(1) ?: continue
            val name = TestName(module, file.nameWithoutExtension, test)
            proofs += marks.flatMap { proofs(it, where, name) }
            marks.clear()
        }
        require(marks.isEmpty()) { "$file: no test follows the last mark" }
        return proofs
    }

    private fun proofs(mark: MatchResult, where: String, test: TestName): List<Proof> {
        val (invariantTags, faultTags, steps) = mark.groupValues.drop(1).map { it.split(", ") }
        return invariantTags.flatMap { invariant ->
            faultTags.flatMap { faults ->
                steps.flatMap(::expand).map { proof(invariant, faults, it, where, test) }
            }
        }
    }

    private fun expand(step: String): List<String> {
        if (!step.endsWith("-*")) return listOf(step)
        val all = Lifecycle.entries.flatMap { it.steps }.filter { it.startsWith(step.dropLast(1)) }
        return all.ifEmpty { listOf(step) }
    }

    private fun proof(
        invariantTag: String,
        faultTags: String,
        step: String,
        where: String,
        test: TestName
    ): Proof {
        val invariant = Invariant.entries.find { it.tag == invariantTag }
        requireNotNull(invariant) { "$where: unknown invariant: $invariantTag" }
        require(step in invariant.steps) { "$where: unknown step of $invariantTag: $step" }
        val faults = faultTags.split(" + ").map { tag ->
            requireNotNull(Fault.entries.find { it.tag == tag }) { "$where: unknown fault: $tag" }
        }
        return Proof(invariant, faults, step, test)
    }
}
