/** Planted defects in the updates of a [MemberTable]. */
package sycamoremast.coordination.membership

internal enum class PlantedMemberDefect(val text: String) {
    UNANSWERED_LISTING_TAKEN_AS_EMPTY("a listing of hosts without an answer is taken as empty"),
    FORMER_PROCESS_TAKEN_AS_NEWEST("a late message of a former process counts for its successor"),
    FORMER_FAREWELL_TAKEN_AS_NEWEST("a former process's farewell ends its successor"),
    SILENCE_IGNORED("a silent host is not suspected")
}
