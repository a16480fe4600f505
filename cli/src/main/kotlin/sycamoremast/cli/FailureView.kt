/** The JSON form of errors. */
package sycamoremast.cli

import kotlinx.serialization.Serializable

/** An error as written with `--json`. */
@Serializable
internal data class FailureView(val exitCode: Int, val kind: String, val messages: List<String>)
