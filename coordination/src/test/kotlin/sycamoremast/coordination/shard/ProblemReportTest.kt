/** Compares the problems reported with the outcomes that workers and the service saw missed. */
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
    fun `what is reported was missed`() {
        println("problem-reports nearMisses=${WITHOUT.nearMisses} wrong=${WITHOUT.wrong.size}")
        expectThat(WITHOUT.nearMisses).isGreaterThan(100)
        expectThat(WITHOUT.wrong).isEmpty()
    }

    @Test
    fun `an outcome that can't be told is reported`() {
        with(WITHOUT) {
            println(
                "problem-reports schedules=$SCHEDULES missed=$missed " +
                    "unreported=${unreported.size} lateUrgentStartsNotReported=$lateUrgent"
            )
        }
        expectThat(WITHOUT.missed).isGreaterThan(100)
        expectThat(WITHOUT.unreported).isEmpty()
    }

    @ParameterizedTest
    @EnumSource
    internal fun `a planted defect of the reporting is caught`(defect: PlantedReportDefect) {
        val with = count(defect)
        val found = (with.wrong - WITHOUT.wrong) + (with.unreported - WITHOUT.unreported)
        println("planted=$defect caught=${found.firstOrNull()}")
        expectThat(found.size).isGreaterThan(0)
    }

    private companion object {
        /** What the schedules show without a planted defect. */
        val WITHOUT by lazy { count() }

        const val SCHEDULES = 2_000L
        const val URGENT_START_MILLIS = 6_900L

        private fun count(defect: PlantedReportDefect? = null): Counts {
            val all = (1L..SCHEDULES).map { seed ->
                Schedule(seed).also { it.run() }
            }.map { schedule ->
                val outcomes = schedule.neverRepeated()
                val kept = outcomes[false].orEmpty()
                val lost = outcomes[true].orEmpty().toSet()
                val told = defect?.plantedIn(schedule.reported, kept) ?: schedule.reported
                val isDisturbed = schedule.takeOvers > 1 || schedule.workerCrashes > 0
                Counts(
                    lost.size,
                    if (isDisturbed) kept.size else 0,
                    schedule.late(URGENT_START_MILLIS).size,
                    (told - lost).map { "seed ${schedule.seed}: $it" },
                    (lost - told).map { "seed ${schedule.seed}: $it" }
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
