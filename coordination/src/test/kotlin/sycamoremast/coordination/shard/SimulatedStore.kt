/** A key-value store in virtual time that checks every write of a shard's document. */
package sycamoremast.coordination.shard

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.record.ShardDocument

internal class SimulatedStore(
    private val checker: InvariantChecker,
    private val bugs: Set<PlantedBug> = emptySet()
) {
    private var revision = 0L
    private var nextLease = 0L
    private val leases = HashMap<LeaseId, Long>()
    private var owner: Pair<StoreEntry, LeaseId>? = null
    var documentEntry: StoreEntry? = null
        private set

    /** The version of the committed document. */
    val version get() = documentEntry?.version ?: StoreEntry.ABSENT

    /** The committed document. */
    var committed = ShardDocument()
        private set
    var documentWrites = 0
        private set

    fun owner(now: Long): StoreEntry? = held(now)?.first

    fun grant(now: Long, ttlMillis: Long): LeaseId {
        val id = LeaseId(++nextLease)
        leases[id] = now + ttlMillis
        return id
    }

    fun keepAlive(lease: LeaseId, now: Long, ttlMillis: Long): Boolean {
        val until = leases[lease] ?: return false
        if (until <= now) return false
        leases[lease] = now + ttlMillis
        return true
    }

    fun revoke(lease: LeaseId) {
        leases.remove(lease)
    }

    fun claimOwner(lease: LeaseId, name: String, now: Long): Either<StoreError, SwapOutcome> {
        held(now)?.let { return SwapOutcome.Conflict(it.first).right() }
        if ((leases[lease] ?: 0) <= now) {
            return StoreError.NotSent("claim", "store", "no such lease").left()
        }
        owner = StoreEntry("owner", name, ++revision) to lease
        return SwapOutcome.Applied(revision).right()
    }

    fun writeDocument(expected: Long, text: String): SwapOutcome {
        val current = documentEntry
        if (version != expected) return SwapOutcome.Conflict(current)
        val next = ShardDocument.parseOrNull(text) ?: error("written document can't be parsed")
        checker.require(next.epoch >= committed.epoch) {
            "document epoch decreased to ${next.epoch}"
        }
        checker.onWrite(next)
        committed = planted(next)
        documentWrites++
        documentEntry = StoreEntry("document", committed.print(), ++revision)
        return SwapOutcome.Applied(revision)
    }

    /** Returns the task step that writing [text] completes, or null if there is none. */
    fun stepOf(text: String): Step? {
        val next = ShardDocument.parseOrNull(text) ?: return null
        val finished = { document: ShardDocument -> document.jobs.sumOf { it.finished.size } }
        return when {
            next.jobs.size > committed.jobs.size -> Step.TASK_ACCEPTED
            finished(next) > finished(committed) -> Step.TASK_FINISHING
            else -> null
        }
    }

    private fun held(now: Long) = owner?.takeIf { (leases[it.second] ?: 0) > now }

    /** Returns [next] as a program with the planted bugs writes it. */
    private fun planted(next: ShardDocument): ShardDocument = when {
        PlantedBug.ENDED_NAMES_OFF in bugs -> next.copy(ended = emptyMap())
        PlantedBug.REVISION_GUARD_OFF in bugs -> next.copy(revisions = emptyMap())
        else -> next
    }
}
