/** The changes of a shard's document, which can be applied again to a newer document. */
package sycamoremast.coordination.record

import sycamoremast.coordination.Checkpoint

/** An idempotent change of a shard's document. */
sealed interface DocumentChange {
    /** Returns [document] with this change applied. */
    fun applyTo(document: ShardDocument): ShardDocument

    /**
     * Adds [record], which the team's configuration at [revision] lists.
     *
     * A job that is already recorded or has ended is left as it is. A configuration older than the
     * recorded revision adds nothing, as it may list an ended job whose name has been removed.
     */
    data class AcceptJob(val record: JobRecord, val revision: Long) : DocumentChange {
        override fun applyTo(document: ShardDocument): ShardDocument {
            val known = document.revisions[record.team] ?: 0
            if (revision < known || document.stateOf(record.key) != null) return document
            return document.copy(
                jobs = document.jobs + record,
                revisions = document.revisions + (record.team to maxOf(known, revision))
            )
        }
    }

    /** Records that the tasks [indices] of the job [key] are finished. */
    data class FinishTasks(val key: JobKey, val indices: List<Int>) : DocumentChange {
        override fun applyTo(document: ShardDocument) = document.update(key) { job ->
            job.copy(
                finished = job.finished + indices,
                starts = job.starts.filter { it.index !in indices },
                checkpoints = job.checkpoints - indices.toSet()
            ).endedIfComplete()
        }
    }

    /** Records that a never-repeated task is about to be started, unless it is decided. */
    data class RecordStart(val key: JobKey, val start: TaskStart) : DocumentChange {
        override fun applyTo(document: ShardDocument) = document.update(key) { job ->
            val isDecided = start.index in job.finished || start.index in job.unknown
            if (isDecided) return@update job
            job.copy(starts = job.starts.filter { it.index != start.index } + start)
        }
    }

    /** Records that the outcome of the task [index] can't be determined, as [evidence] shows. */
    data class RecordUnknownOutcome(val key: JobKey, val index: Int, val evidence: String = "") :
        DocumentChange {
        override fun applyTo(document: ShardDocument) = document.update(key) { job ->
            if (index in job.finished) return@update job
            job.copy(
                unknown = job.unknown + listOf(index),
                starts = job.starts.filter { it.index != index }
            ).endedIfComplete()
        }
    }

    /** Records those [checkpoints] of unfinished tasks that are ahead of the recorded ones. */
    data class RecordCheckpoints(val key: JobKey, val checkpoints: Map<Int, Checkpoint>) :
        DocumentChange {
        override fun applyTo(document: ShardDocument) = document.update(key) { job ->
            val further = checkpoints.filter { (index, checkpoint) ->
                val known = job.checkpoints[index]?.doneMillis ?: 0
                index !in job.finished && checkpoint.doneMillis > known
            }
            job.copy(checkpoints = job.checkpoints + further)
        }
    }

    /** Ends the job [key] in the final [state] for [reason]. */
    data class EndJob(val key: JobKey, val state: JobState, val reason: String) : DocumentChange {
        override fun applyTo(document: ShardDocument) =
            document.update(key) { it.ended(state, reason) }
    }

    /** Cancels the job [key]; of a job without a record, only the name is recorded as ended. */
    data class CancelJob(val key: JobKey, val tasks: Int, val reason: String) : DocumentChange {
        override fun applyTo(document: ShardDocument): ShardDocument {
            if (document.stateOf(key) != null) {
                return document.update(key) { it.ended(JobState.CANCELLED, reason) }
            }
            val known = document.ended[key.team] ?: EndedNames.EMPTY
            val names = known.plus(mapOf(key.name to JobState.CANCELLED))
            return document.copy(ended = document.ended.with(key.team, names))
        }
    }

    /** Replaces the records of the ended jobs among [keys] by their names and final states. */
    data class CompactJobs(val keys: Set<JobKey>) : DocumentChange {
        override fun applyTo(document: ShardDocument): ShardDocument {
            val (compacted, kept) = document.jobs.partition {
                it.state != JobState.ACCEPTED && it.key in keys
            }
            val added = compacted.groupBy { it.team }.mapValues { (team, records) ->
                val known = document.ended[team] ?: EndedNames.EMPTY
                known.plus(records.associate { it.name to it.state })
            }
            return document.copy(jobs = kept, ended = document.ended + added)
        }
    }

    /**
     * Removes the ended [names], which the configuration of [team] at [revision] does not list.
     *
     * Raises the recorded revision, so that no older configuration can add these jobs again.
     */
    data class RemoveNames(val team: String, val revision: Long, val names: EndedNames) :
        DocumentChange {
        override fun applyTo(document: ShardDocument): ShardDocument {
            val known = document.revisions[team] ?: 0
            if (revision < known) return document
            val left = (document.ended[team] ?: EndedNames.EMPTY) - names
            return document.copy(
                ended = document.ended.with(team, left),
                revisions = document.revisions + (team to revision)
            )
        }
    }

    /** Adds [workers] to the workers that may hold a task of the shard. */
    data class AddWorkers(val workers: List<String>) : DocumentChange {
        override fun applyTo(document: ShardDocument) =
            document.copy(workers = (document.workers + workers).distinct())
    }

    /** Removes [workers], which hold no task and are fenced or certain to have no lease. */
    data class RemoveWorkers(val workers: List<String>) : DocumentChange {
        override fun applyTo(document: ShardDocument) =
            document.copy(workers = document.workers - workers.toSet())
    }

    /** Makes [owner] the owner of the shard in [epoch]. */
    data class TakeOver(val owner: String, val epoch: Long) : DocumentChange {
        override fun applyTo(document: ShardDocument) = document.copy(owner = owner, epoch = epoch)
    }
}

private fun Map<String, EndedNames>.with(team: String, names: EndedNames) =
    if (names.size == 0) minus(team) else plus(team to names)

/** Applies [change] to the job [key] unless it has ended; a job that ends moves to the end. */
private fun ShardDocument.update(key: JobKey, change: (JobRecord) -> JobRecord): ShardDocument {
    val index = jobs.indexOfFirst { it.team == key.team && it.name == key.name }
    val known = jobs.getOrNull(index)
    if (known == null || known.state != JobState.ACCEPTED) return this
    val changed = change(known)
    val next = jobs.toMutableList()
    if (changed.state == JobState.ACCEPTED) {
        next[index] = changed
    } else {
        next.removeAt(index)
        next += changed
    }
    return copy(jobs = next)
}
