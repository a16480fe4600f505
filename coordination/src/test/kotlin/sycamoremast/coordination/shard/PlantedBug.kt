/** Faults planted in the program, to test that the invariant checker detects them. */
package sycamoremast.coordination.shard

internal enum class PlantedBug(val text: String) {
    FENCING_OFF("a worker takes calls of any epoch"),
    GENERATIONS_OFF("a worker compares the generation of an epoch only"),
    ECHO_IGNORED("a worker counts its lease from when the renewal arrives"),
    MARGIN_OFF("leases are held without a margin for clock drift"),
    READ_BACK_OFF("a document's write whose answer was lost is taken as done"),
    UNCONFIRMED_STOP_NOT_COUNTED("a task that is asked to stop is counted as stopped"),
    LAPSE_NOTICED_LATE("a worker stops its tasks two seconds after its lease has lapsed"),
    START_TAKEN_AS_NOT_SENT("a start whose answer was lost is taken as never sent"),
    VERSION_IGNORED("a document is written without comparing its version"),
    TASKS_NOT_ADOPTED("a new owner does not see what its workers run"),
    RESULT_ACKNOWLEDGED_EARLY("a result is acknowledged before its completion is recorded"),
    ENDED_NAMES_OFF("ended jobs are removed with their names"),
    REVISION_GUARD_OFF("the revision at which names were forgotten is not recorded")
}
