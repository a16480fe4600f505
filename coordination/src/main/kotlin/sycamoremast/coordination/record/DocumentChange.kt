/** The changes that a shard's document goes through; each may be applied to a newer document. */
package sycamoremast.coordination.record

/** A change of a shard's document. Applying it a second time changes nothing more. */
sealed interface DocumentChange {
    /** Returns [document] with this change. */
    fun applyTo(document: ShardDocument): ShardDocument

    /** Adds [record], unless the job has one, for the team's configuration at [revision]. */
    data class AcceptJob(val record: JobRecord, val revision: Long) : DocumentChange {
        override fun applyTo(document: ShardDocument): ShardDocument {
            if (document.job(record.key) != null) return document
            val known = document.revisions[record.team] ?: 0
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
                starts = job.starts.filter { it.index !in indices }
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

    /** Records that the outcome of the task [index] can't be told. */
    data class LoseOutcome(val key: JobKey, val index: Int) : DocumentChange {
        override fun applyTo(document: ShardDocument) = document.update(key) { job ->
            if (index in job.finished) return@update job
            job.copy(
                unknown = job.unknown + listOf(index),
                starts = job.starts.filter { it.index != index }
            ).endedIfComplete()
        }
    }

    /** Ends the job [key] in the final [state]. */
    data class EndJob(val key: JobKey, val state: JobState, val reason: String) : DocumentChange {
        override fun applyTo(document: ShardDocument) =
            document.update(key) { it.ended(state, reason) }
    }

    /** Cancels the job [key] of [tasks] tasks, also one that has no record yet. */
    data class CancelJob(val key: JobKey, val tasks: Int, val reason: String) : DocumentChange {
        override fun applyTo(document: ShardDocument): ShardDocument {
            if (document.job(key) != null) {
                return document.update(key) { it.ended(JobState.CANCELLED, reason) }
            }
            val record = JobRecord(key.team, key.name, document.epoch, tasks)
            return document.copy(jobs = document.jobs + record.ended(JobState.CANCELLED, reason))
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

private fun ShardDocument.update(key: JobKey, change: (JobRecord) -> JobRecord): ShardDocument =
    copy(
        jobs = jobs.map {
            val open = it.state == JobState.ACCEPTED
            if (open && it.team == key.team && it.name == key.name) change(it) else it
        }
    )
