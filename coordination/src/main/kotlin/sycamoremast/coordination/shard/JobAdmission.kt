/** Admission control for the shard's document: accepts listed jobs as far as there is space. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.DocumentSpace
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.ShardDocument

internal class JobAdmission(private val tasks: TaskTable, private val ledger: DocumentLedger) {
    /** The number of jobs that are waiting for space in the document. */
    var heldBack = 0
        private set
    private var lastTriedDocument: ShardDocument? = null

    /** Accepts new jobs of [listings] while there is space, urgent ones first. */
    fun accept(listings: Collection<ShardEvent.JobsListed>, epoch: Long) {
        heldBack = 0
        lastTriedDocument = ledger.document
        val candidates = listings.flatMap { candidates(it, epoch) }
        if (candidates.isEmpty()) return
        val document = ledger.projected()
        val recorded = document.jobs.mapTo(HashSet()) { it.key }
        val rejections = HashMap<String, Int>()
        var space = DocumentSpace.of(document)
        for ((record, revision) in candidates.sortedBy { it.record.spec?.urgent != true }) {
            if (record.key in recorded) continue
            val isUnderRejectionLimit = (rejections[record.team] ?: 0) < MAX_REJECTIONS_PER_TEAM
            if (isUnderRejectionLimit && space.admits(record)) {
                space = space.with(record)
                ledger.submit(DocumentChange.AcceptJob(record, revision))
            } else {
                rejections.merge(record.team, 1, Int::plus)
                heldBack++
            }
        }
    }

    /** Retries the jobs that were held back if the document has changed since. */
    fun retry(listings: Collection<ShardEvent.JobsListed>, epoch: Long) {
        if (heldBack > 0 && ledger.document !== lastTriedDocument) accept(listings, epoch)
    }

    /** Returns the jobs of [event] missing from the document, or none if its revision is stale. */
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
        /** The number of rejections after which a team's remaining jobs are not tried. */
        const val MAX_REJECTIONS_PER_TEAM = 16
    }
}
