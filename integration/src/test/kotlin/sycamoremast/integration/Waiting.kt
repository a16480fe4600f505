/** Polling of conditions with a time-out of 30 s. */
package sycamoremast.integration

private const val TIMEOUT_NANOS = 30_000_000_000L
private const val POLL_MILLIS = 20L

/** Calls [poll] until it returns a value other than null; [detail] is added to a failure. */
internal fun <T : Any> eventually(what: String, detail: () -> String = { "" }, poll: () -> T?): T {
    val end = System.nanoTime() + TIMEOUT_NANOS
    while (true) {
        poll()?.let { return it }
        check(System.nanoTime() < end) { "timed out waiting until $what\n${detail()}" }
        Thread.sleep(POLL_MILLIS)
    }
}

/** Polls [condition] until it holds; [detail] is added to a failure. */
internal fun await(what: String, detail: () -> String = { "" }, condition: () -> Boolean) {
    eventually(what, detail) { if (condition()) Unit else null }
}
