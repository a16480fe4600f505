/** Faults planted in the reporting of missed outcomes, to test that they are detected. */
package sycamoremast.coordination.shard

internal enum class PlantedReportDefect(val text: String) {
    SOME_NOT_REPORTED("every other missed outcome goes unreported"),
    ABSORBED_FAULT_REPORTED("a fault is reported though the outcome was not missed"),
    WRONG_TASK_REPORTED("a missed outcome is reported of the job's next task");

    /** Returns what the defect makes of [reported]; the [kept] outcomes were not missed. */
    fun plantedIn(reported: Set<String>, kept: List<String>): Set<String> = when (this) {
        SOME_NOT_REPORTED -> reported.filterIndexedTo(HashSet()) { i, _ -> i % 2 == 1 }

        ABSORBED_FAULT_REPORTED -> reported + kept.take(1)

        WRONG_TASK_REPORTED -> reported.mapTo(HashSet()) {
            it.substringBeforeLast('/') + "/" + (it.substringAfterLast('/').toInt() + 1)
        }
    }
}
