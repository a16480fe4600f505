/** The failure of the tool's HTTP client. */
package sycamoremast.cli

import java.io.IOException

/** An exchange that gave no answer; nothing was sent unless [connected]. */
internal class ExchangeException(val connected: Boolean, val reason: String) :
    IOException(reason)
