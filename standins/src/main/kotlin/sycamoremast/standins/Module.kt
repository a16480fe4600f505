/** Placeholder. */
package sycamoremast.standins

internal const val MODULE_NAME = "standins"
