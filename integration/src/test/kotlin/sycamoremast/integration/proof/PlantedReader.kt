/**
 * Reads from the test sources the planted faults.
 *
 * These are faults that tests inject on purpose, to show that the checks detect them.
 */
package sycamoremast.integration.proof

import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.name
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText
import kotlin.io.path.walk

/** A fault that the tests of [module] plant, an entry of the enum [list]. */
internal data class PlantedFault(
    val module: String,
    val list: String,
    val name: String,
    val text: String
)

internal object PlantedReader {
    private val FILE = Regex("""Planted\w*(Bug|Defect)\.kt""")
    private val LINE = Regex("""^    ([A-Z][A-Z_]+)\(\s*"([^"]+)"""", RegexOption.MULTILINE)

    /** Returns the faults planted in all modules below [root], in order of module and list. */
    @OptIn(ExperimentalPathApi::class)
    fun read(root: Path): List<PlantedFault> = root.walk()
        .filter { FILE.matches(it.name) && "src/test/kotlin" in "$it" }
        .sortedBy { "${root.relativize(it)}" }
        .flatMap { read(it, root.relativize(it).first().name) }
        .toList()

    private fun read(file: Path, module: String): List<PlantedFault> = LINE.findAll(file.readText())
        .map {
            PlantedFault(module, file.nameWithoutExtension, it.groupValues[1], it.groupValues[2])
        }
        .toList()
        .also { require(it.isNotEmpty()) { "$file: contains no planted fault" } }
}
