/**
 * Ends the process when one of its threads ends by an error, such as a lack of memory.
 *
 * Otherwise a host without its scheduler would go on to renew its lease as owner, or one without its
 * election would be ready and never take over.
 */
package sycamoremast.daemon.workflow

import sycamoremast.daemon.log.EventLog

/** Logs what ends a thread, and calls [halt] if that is an [Error]. */
class FatalErrorHandler(private val log: EventLog, private val halt: () -> Unit) :
    Thread.UncaughtExceptionHandler {
    override fun uncaughtException(thread: Thread, cause: Throwable) {
        try {
            log.add(
                "thread-ended",
                "thread" to thread.name,
                "error" to cause,
                "at" to cause.stackTrace.firstOrNull()
            )
            if (cause is Error) log.close()
        } finally {
            if (cause is Error) halt()
        }
    }
}
