/** Placeholder. */
package sycamoremast.cli

internal const val MODULE_NAME = "cli"
