/** Which of the listed jobs are accepted into the shard's document, and which wait for room in it. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.DocumentSpace
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.ShardDocument

internal class JobIntake(private val tasks: TaskTable, private val ledger: DocumentLedger) {
    /** The number of jobs that wait for room. */
    var heldBack = 0
        private set
    private var tried: ShardDocument? = null

    /** Accepts the new jobs of [listings] for which there is room, urgent ones first. */
    fun accept(listings: Collection<ShardEvent.JobsListed>, epoch: Long) {
        heldBack = 0
        tried = ledger.document
        val candidates = listings.flatMap { candidates(it, epoch) }
        if (candidates.isEmpty()) return
        val document = ledger.projected()
        val recorded = document.jobs.mapTo(HashSet()) { it.key }
        val refusals = HashMap<String, Int>()
        var room = DocumentSpace.of(document)
        for ((record, revision) in candidates.sortedBy { it.record.spec?.urgent != true }) {
            if (record.key in recorded) continue
            val mayFit = (refusals[record.team] ?: 0) < MOST_REFUSALS
            if (mayFit && room.admits(record)) {
                room = room.with(record)
                ledger.submit(DocumentChange.AcceptJob(record, revision))
            } else {
                refusals.merge(record.team, 1, Int::plus)
                heldBack++
            }
        }
    }

    /** Accepts what fits of the jobs that were held back, if the document has changed since. */
    fun retry(listings: Collection<ShardEvent.JobsListed>, epoch: Long) {
        if (heldBack > 0 && ledger.document !== tried) accept(listings, epoch)
    }

    /** Returns the jobs that [event] lists and the document does not know, unless it is too old. */
    private fun candidates(event: ShardEvent.JobsListed, epoch: Long): List<Candidate> {
        val document = ledger.document
        if (event.revision < (document.revisions[event.team] ?: 0)) return emptyList()
        val ended = document.ended[event.team]
        return event.jobs
            .filterKeys { JobKey(event.team, it) !in tasks.jobs && ended?.stateOf(it) == null }
            .map { (name, spec) ->
                Candidate(
                    JobRecord(event.team, name, epoch, spec.tasks, spec = spec),
                    event.revision
                )
            }
    }

    private data class Candidate(val record: JobRecord, val revision: Long)

    private companion object {
        /** The jobs of one team for which room is looked for in vain before the rest wait. */
        const val MOST_REFUSALS = 16
    }
}
