/** Faults in how changes of the configuration reach the table of those in force. */
package sycamoremast.coordination.document

internal enum class PlantedTableDefect(val text: String) {
    REVERTING_REVISION_APPLIED("a restored watch puts a lower revision in force"),
    GAP_NOT_FILLED("a revision that does not follow the last one is passed over");

    /** Whether the table is forgotten before the offer [number], as if a watch began anew. */
    fun resetsTableBefore(number: Int) =
        this == REVERTING_REVISION_APPLIED && number % OFFERS_PER_WATCH == 0

    /** Whether [text] never reaches [table]. */
    fun drops(text: String, table: DocumentTable<*>): Boolean {
        if (this != GAP_NOT_FILLED) return false
        val document = ConfigurationDocument.parse(text).getOrNull() ?: return false
        return document.revision != (table.revisions()[document.team] ?: 0) + 1
    }

    private companion object {
        const val OFFERS_PER_WATCH = 20
    }
}
