/** The changes that a shard's document goes through; each may be applied to a newer document. */
package sycamoremast.coordination.record

import sycamoremast.coordination.Checkpoint

/** A change of a shard's document. Applying it a second time changes nothing more. */
sealed interface DocumentChange {
    /** Returns [document] with this change. */
    fun applyTo(document: ShardDocument): ShardDocument

    /**
     * Adds [record], unless the job is known, for the team's configuration at [revision].
     *
     * A configuration older than the recorded revision adds nothing, as it may list a job that has
     * ended and is forgotten.
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

    /** Records that [indices] of the job [key] are finished. */
    data class FinishTasks(val key: JobKey, val indices: List<Int>) : DocumentChange {
        override fun applyTo(document: ShardDocument) = document.update(key) { job ->
            job.copy(
                finished = job.finished + indices,
                starts = job.starts.filter { it.index !in indices },
                checkpoints = job.checkpoints - indices.toSet()
            ).endedIfComplete()
        }
    }

    /** Records that a never-repeated task is about to be started. */
    data class RecordStart(val key: JobKey, val start: TaskStart) : DocumentChange {
        override fun applyTo(document: ShardDocument) = document.update(key) { job ->
            val isDecided = start.index in job.finished || start.index in job.unknown
            if (isDecided) return@update job
            job.copy(starts = job.starts.filter { it.index != start.index } + start)
        }
    }

    /** Records that the outcome of the task [index] can't be told, for which [evidence] speaks. */
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

    /** Records [checkpoints] of undecided tasks, where they are further than what is recorded. */
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

    /** Ends the job [key] in the final [state]. */
    data class EndJob(val key: JobKey, val state: JobState, val reason: String) : DocumentChange {
        override fun applyTo(document: ShardDocument) =
            document.update(key) { it.ended(state, reason) }
    }

    /** Cancels the job [key]; one that has no record yet leaves no more than its name. */
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

    /** Keeps no more of the ended jobs [keys] than their names and final states. */
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
     * Forgets [names], which the configuration of [team] at [revision] does not list.
     *
     * From then on no older configuration can bring them back.
     */
    data class ForgetNames(val team: String, val revision: Long, val names: EndedNames) :
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

    /** Adds [workers] to those that may hold a task of the shard. */
    data class AddWorkers(val workers: List<String>) : DocumentChange {
        override fun applyTo(document: ShardDocument) =
            document.copy(workers = (document.workers + workers).distinct())
    }

    /** Removes [workers], which hold no task and have been fenced or waited out. */
    data class RemoveWorkers(val workers: List<String>) : DocumentChange {
        override fun applyTo(document: ShardDocument) =
            document.copy(workers = document.workers - workers.toSet())
    }

    /** Makes [owner] the owner with [epoch]. */
    data class TakeOver(val owner: String, val epoch: Long) : DocumentChange {
        override fun applyTo(document: ShardDocument) = document.copy(owner = owner, epoch = epoch)
    }
}

private fun Map<String, EndedNames>.with(team: String, names: EndedNames) =
    if (names.size == 0) minus(team) else plus(team to names)

/** Changes the open job [key]; a job that ends goes to the end of the list. */
private fun ShardDocument.update(key: JobKey, change: (JobRecord) -> JobRecord): ShardDocument {
    val at = jobs.indexOfFirst { it.team == key.team && it.name == key.name }
    val known = jobs.getOrNull(at)
    if (known == null || known.state != JobState.ACCEPTED) return this
    val changed = change(known)
    val next = jobs.toMutableList()
    if (changed.state == JobState.ACCEPTED) {
        next[at] = changed
    } else {
        next.removeAt(at)
        next += changed
    }
    return copy(jobs = next)
}
