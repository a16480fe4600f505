/**
 * Tells workers that leave orders unanswered from a path to the workers that is slow.
 *
 * A worker is silent if it left an order unanswered while a later order to another worker was
 * answered. It gets few orders until it answers again, so that it doesn't hold back other workers'
 * orders and the outcome of few orders is unknown.
 */
package sycamoremast.coordination.workflow

/** The unanswered orders of each worker on one path, and which of the workers are silent. */
class SilentWorkers {
    private class Contact {
        var unanswered = 0
        var lostSinceAnswer = 0
        var lastAnswerMillis = Long.MIN_VALUE
        var silentUntilMillis = Long.MIN_VALUE

        /** The highest number of unanswered orders while the worker is silent. */
        val limitIfSilent: Int
            get() = if (lostSinceAnswer < MAX_ORDERS_IF_SILENT) MAX_ORDERS_IF_SILENT else 1

        fun isSilent(nowMillis: Long) = nowMillis < silentUntilMillis
    }

    /** Workers with unanswered orders, and silent workers. */
    private val contacts = HashMap<String, Contact>()

    fun isSilent(worker: String, nowMillis: Long) = contacts[worker]?.isSilent(nowMillis) ?: false

    fun count(nowMillis: Long) = contacts.values.count { it.isSilent(nowMillis) }

    /** Returns whether [worker] may get another order. */
    fun canSend(worker: String, nowMillis: Long): Boolean {
        val contact = contacts[worker] ?: return true
        return !contact.isSilent(nowMillis) || contact.unanswered < contact.limitIfSilent
    }

    /** Counts an order that was sent to [worker]. */
    fun onSent(worker: String) {
        contacts.getOrPut(worker, ::Contact).unanswered++
    }

    /** Processes an answer of [worker] to an order that was counted. */
    fun onAnswered(worker: String, nowMillis: Long) {
        contacts[worker]?.let { it.unanswered-- }
        onSignOfLife(worker, nowMillis)
    }

    /** Processes any other answer of [worker]. */
    fun onSignOfLife(worker: String, nowMillis: Long) {
        val contact = contacts[worker] ?: return
        contact.lastAnswerMillis = nowMillis
        contact.lostSinceAnswer = 0
        contact.silentUntilMillis = Long.MIN_VALUE
        if (contact.unanswered == 0) contacts -= worker
    }

    /** Processes that an order sent to [worker] at [sentMillis] was overtaken by later answers. */
    fun onOvertaken(worker: String, sentMillis: Long, nowMillis: Long) {
        val contact = contacts[worker] ?: return
        if (contact.lastAnswerMillis >= sentMillis) return
        contact.silentUntilMillis = nowMillis + SILENCE_MILLIS
    }

    /** Processes that an order to [worker] failed without an answer. */
    fun onLost(worker: String, nowMillis: Long) {
        val contact = contacts[worker] ?: return
        contact.unanswered--
        contact.lostSinceAnswer++
        if (contact.unanswered == 0 && !contact.isSilent(nowMillis)) contacts -= worker
    }

    /** Forgets workers that have been silent for long and that got no order since. */
    fun forgetExpired(nowMillis: Long) {
        contacts.values.removeIf { it.unanswered == 0 && !it.isSilent(nowMillis) }
    }

    companion object {
        /** Some orders can be lost by chance; that none of these is answered is unlikely. */
        const val MAX_ORDERS_IF_SILENT = 4

        /** Longer than an order takes to fail, so that orders to a silent worker stay few. */
        const val SILENCE_MILLIS = 2_000L
    }
}
