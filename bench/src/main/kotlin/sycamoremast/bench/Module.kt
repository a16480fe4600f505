/** Placeholder. */
package sycamoremast.bench

internal const val MODULE_NAME = "bench"
