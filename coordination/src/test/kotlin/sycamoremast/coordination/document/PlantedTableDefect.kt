/** Planted defects in the delivery of configuration documents to a [DocumentTable]. */
package sycamoremast.coordination.document

internal enum class PlantedTableDefect(val text: String) {
    REVERTING_REVISION_APPLIED("a restored watch puts a lower revision in force"),
    GAP_NOT_FILLED("a revision that does not follow the last one is passed over");

    /** Returns whether the table is emptied before offer [number], as if a new watch began. */
    fun resetsTableBefore(number: Int) =
        this == REVERTING_REVISION_APPLIED && number % OFFERS_PER_WATCH == 0

    /** Returns whether [text] is withheld from [table]. */
    fun drops(text: String, table: DocumentTable<*>): Boolean {
        if (this != GAP_NOT_FILLED) return false
        val document = ConfigurationDocument.parse(text).getOrNull() ?: return false
        return document.revision != (table.revisions()[document.team] ?: 0) + 1
    }

    private companion object {
        const val OFFERS_PER_WATCH = 20
    }
}
