/** Amounts of a host's resources, as declared, committed or used. */
package sycamoremast.coordination

import kotlinx.serialization.Serializable

/** An amount of CPU (in thousandths of a core), memory (in MiB) and accelerators. */
@Serializable
data class Resources(val milliCpus: Long, val memoryMib: Long, val accelerators: Long = 0) {
    init {
        require(milliCpus >= 0 && memoryMib >= 0 && accelerators >= 0) {
            "resources must not be negative: $milliCpus mCPU, $memoryMib MiB, $accelerators accel"
        }
    }

    /** Returns the sum of both amounts. */
    operator fun plus(other: Resources) = Resources(
        milliCpus + other.milliCpus,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators
    )

    /** Returns whether this amount is within [other] in every dimension. */
    fun fitsIn(other: Resources) = milliCpus <= other.milliCpus &&
        memoryMib <= other.memoryMib &&
        accelerators <= other.accelerators

    /** Returns this amount less [other], with no dimension below zero. */
    fun minusFloored(other: Resources) = Resources(
        (milliCpus - other.milliCpus).coerceAtLeast(0),
        (memoryMib - other.memoryMib).coerceAtLeast(0),
        (accelerators - other.accelerators).coerceAtLeast(0)
    )

    companion object {
        /** No resources at all. */
        val NONE = Resources(0, 0, 0)
    }
}
