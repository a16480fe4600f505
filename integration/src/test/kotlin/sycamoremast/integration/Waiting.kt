/** Waiting on conditions, with a generous bound. */
package sycamoremast.integration

private const val BOUND_NANOS = 30_000_000_000L
private const val POLL_MILLIS = 20L

/** Returns what [poll] gives as soon as that is not null; [detail] is added to a failure. */
internal fun <T : Any> eventually(what: String, detail: () -> String = { "" }, poll: () -> T?): T {
    val end = System.nanoTime() + BOUND_NANOS
    while (true) {
        poll()?.let { return it }
        check(System.nanoTime() < end) { "never came about: $what\n${detail()}" }
        Thread.sleep(POLL_MILLIS)
    }
}

/** Waits until [condition] holds. */
internal fun await(what: String, detail: () -> String = { "" }, condition: () -> Boolean) {
    eventually(what, detail) { if (condition()) Unit else null }
}
