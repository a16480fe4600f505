/** Compares reported problems with the outcomes actually missed by workers and the store. */
package sycamoremast.coordination.shard

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

class ProblemReportTest {
    private data class Counts(
        val missed: Int,
        val nearMisses: Int,
        val lateUrgent: Int,
        val wrong: List<String>,
        val unreported: List<String>
    )

    @Test
    fun `reports only outcomes that were missed`() {
        println("problem-reports nearMisses=${BASELINE.nearMisses} wrong=${BASELINE.wrong.size}")
        expectThat(BASELINE.nearMisses).isGreaterThan(100)
        expectThat(BASELINE.wrong).isEmpty()
    }

    @Test
    fun `reports every unknown outcome`() {
        with(BASELINE) {
            println(
                "problem-reports schedules=$SCHEDULES missed=$missed " +
                    "unreported=${unreported.size} lateUrgentStartsNotReported=$lateUrgent"
            )
        }
        expectThat(BASELINE.missed).isGreaterThan(100)
        expectThat(BASELINE.unreported).isEmpty()
    }

    @ParameterizedTest
    @EnumSource
    internal fun `detects each planted reporting defect`(defect: PlantedReportDefect) {
        val with = count(defect)
        val found = (with.wrong - BASELINE.wrong) + (with.unreported - BASELINE.unreported)
        println("planted=$defect caught=${found.firstOrNull()}")
        expectThat(found.size).isGreaterThan(0)
    }

    private companion object {
        /** The results of the schedules without a planted defect. */
        val BASELINE by lazy { count() }

        const val SCHEDULES = 2_000L
        const val URGENT_START_MILLIS = 6_900L

        private fun count(defect: PlantedReportDefect? = null): Counts {
            val all = (1L..SCHEDULES).map { seed ->
                Schedule(seed).also { it.run() }
            }.map { schedule ->
                val outcomes = schedule.neverRepeated()
                val kept = outcomes[false].orEmpty()
                val lost = outcomes[true].orEmpty().toSet()
                val reported = defect?.plantedIn(schedule.reported, kept) ?: schedule.reported
                val isDisturbed = schedule.takeOvers > 1 || schedule.workerCrashes > 0
                Counts(
                    lost.size,
                    if (isDisturbed) kept.size else 0,
                    schedule.lateUrgentTasks(URGENT_START_MILLIS).size,
                    (reported - lost).map { "seed ${schedule.seed}: $it" },
                    (lost - reported).map { "seed ${schedule.seed}: $it" }
                )
            }
            return Counts(
                all.sumOf { it.missed },
                all.sumOf { it.nearMisses },
                all.sumOf { it.lateUrgent },
                all.flatMap { it.wrong },
                all.flatMap { it.unreported }
            )
        }
    }
}
