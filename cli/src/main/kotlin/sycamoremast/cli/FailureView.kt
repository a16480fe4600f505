/** The form of errors for programs. */
package sycamoremast.cli

import kotlinx.serialization.Serializable

/** An error as it is written with `--json`. */
@Serializable
internal data class FailureView(val exitCode: Int, val kind: String, val messages: List<String>)
