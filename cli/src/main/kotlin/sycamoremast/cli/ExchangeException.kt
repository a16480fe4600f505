/** The exception of the tool's HTTP client. */
package sycamoremast.cli

import java.io.IOException

/** An HTTP exchange without a complete response; nothing was sent unless [connected]. */
internal class ExchangeException(val connected: Boolean, val reason: String) :
    IOException(reason)
