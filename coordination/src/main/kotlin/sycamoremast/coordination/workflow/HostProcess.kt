/**
 * The name of a process on an entry host.
 *
 * A host runs one process at a time. What a process has promised or seen doesn't hold for those that
 * run there before and after it.
 */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * A process, written as its host's name and its own ID, for example `gauja-1/k3f9`.
 *
 * The ID is missing for hosts of versions that don't tell processes apart.
 */
@Serializable
@JvmInline
value class HostProcess(val text: String) {
    /** The name of the host on which the process runs. */
    val host: String get() = text.substringBefore(SEPARATOR)

    /** The ID of the process, empty for hosts that don't tell any. */
    val id: String get() = text.substringAfter(SEPARATOR, missingDelimiterValue = "")

    override fun toString(): String = text

    companion object {
        private const val SEPARATOR = '/'

        /** Returns the process [id] on [host]; an empty ID stands for any process there. */
        fun of(host: String, id: String): HostProcess {
            require(host.isNotEmpty() && SEPARATOR !in host) { "not the name of a host: '$host'" }
            return HostProcess(if (id.isEmpty()) host else "$host$SEPARATOR$id")
        }
    }
}
