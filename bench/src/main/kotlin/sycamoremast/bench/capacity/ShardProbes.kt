/** Probes of the decisions and the state of a shard's owner, without any calls. */
package sycamoremast.bench.capacity

private const val ROLE = "shard owner"
private const val WARM_UPS = 10
private const val TASKS_A_WORKER = 10
private const val PLACED_TASKS = 100
private const val PLACEMENTS = 15
private const val WORKERS_OF_LARGE_JOBS = 200
private const val WORKERS_OF_JOB_RECORDS = 20
private val WORKERS = listOf(50, 100, 200, 400)
private val TASKS = listOf(1_000, 2_000, 4_000)
private val JOBS = listOf(100, 200, 400)

internal fun shardProbes(): List<Probe> = decisionProbes() + stateProbes()

private fun decisionProbes() = listOf(
    Probe(ROLE, "decisions a heartbeat", "CPU us", "workers", WORKERS) { workers, _ ->
        val shard = AnsweredShard(workers)
        shard.runJob("survey", workers * TASKS_A_WORKER)
        medianCpuMicros(WARM_UPS) { shard.round() } / workers
    },
    Probe(ROLE, "decisions a heartbeat, a task waiting", "CPU us", "workers", WORKERS) { n, _ ->
        val shard = AnsweredShard(n)
        shard.runJob("survey", n * TASKS_A_WORKER)
        shard.submitWaiting("recount")
        medianCpuMicros(WARM_UPS) { shard.round() } / n
    },
    Probe(ROLE, "placement decision", "CPU us a task", "workers", WORKERS) { workers, _ ->
        val shards = ArrayDeque(List(PLACEMENTS + 1) { AnsweredShard(workers) })
        medianCpuMicros(PLACEMENTS - MEASURED_RUNS) {
            shards.removeFirst().runJob("survey", PLACED_TASKS)
        } / PLACED_TASKS
    },
    Probe(ROLE, "job accepted", "CPU us", "open jobs", JOBS) { jobs, _ ->
        val shard = AnsweredShard(WORKERS_OF_JOB_RECORDS)
        repeat(jobs) { shard.runJob("survey-$it", 1) }
        var next = jobs
        medianCpuMicros(WARM_UPS) { shard.runJob("survey-${next++}", 1) }
    }
)

private fun stateProbes() = listOf(
    Probe(ROLE, "state of workers", "heap bytes", "workers", WORKERS) { workers, _ ->
        retainedBytes { AnsweredShard(workers) }
    },
    Probe(ROLE, "state of tasks", "heap bytes", "running tasks", TASKS) { tasks, _ ->
        retainedBytes { AnsweredShard(WORKERS_OF_LARGE_JOBS).apply { runJob("survey", tasks) } }
    },
    Probe(ROLE, "document", "bytes", "open jobs", JOBS) { jobs, _ ->
        val shard = AnsweredShard(WORKERS_OF_JOB_RECORDS)
        repeat(jobs) { shard.runJob("survey-$it", 1) }
        shard.documentText.length.toDouble()
    },
    Probe(ROLE, "document", "bytes", "finished jobs", JOBS) { jobs, _ ->
        val shard = AnsweredShard(WORKERS_OF_JOB_RECORDS)
        repeat(jobs) { shard.runJob("survey-$it", 1) }
        shard.finishAll()
        shard.documentText.length.toDouble()
    },
    Probe(ROLE, "document of workers", "bytes", "workers", WORKERS) { workers, _ ->
        AnsweredShard(workers).documentText.length.toDouble()
    }
)

private const val MEASURED_RUNS = 5
