/** Probes of the decisions and the state of a shard's owner, without network calls. */
package sycamoremast.bench.capacity

private const val ROLE = "shard owner"
private const val WARM_UPS = 10
private const val TASKS_PER_WORKER = 10
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
        val shard = SimulatedShard(workers)
        shard.placeJob("survey", workers * TASKS_PER_WORKER)
        medianCpuMicros(WARM_UPS) { shard.runHeartbeatRound() } / workers
    },
    Probe(ROLE, "decisions a heartbeat, a task waiting", "CPU us", "workers", WORKERS) { n, _ ->
        val shard = SimulatedShard(n)
        shard.placeJob("survey", n * TASKS_PER_WORKER)
        shard.submitWaitingJob("recount")
        medianCpuMicros(WARM_UPS) { shard.runHeartbeatRound() } / n
    },
    Probe(ROLE, "placement decision", "CPU us a task", "workers", WORKERS) { workers, _ ->
        val shards = ArrayDeque(List(PLACEMENTS + 1) { SimulatedShard(workers) })
        medianCpuMicros(PLACEMENTS - MEASURED_RUNS) {
            shards.removeFirst().placeJob("survey", PLACED_TASKS)
        } / PLACED_TASKS
    },
    Probe(ROLE, "job accepted", "CPU us", "open jobs", JOBS) { jobs, _ ->
        val shard = SimulatedShard(WORKERS_OF_JOB_RECORDS)
        repeat(jobs) { shard.placeJob("survey-$it", 1) }
        var next = jobs
        medianCpuMicros(WARM_UPS) { shard.placeJob("survey-${next++}", 1) }
    }
)

private fun stateProbes() = listOf(
    Probe(ROLE, "state of workers", "heap bytes", "workers", WORKERS) { workers, _ ->
        retainedBytes { SimulatedShard(workers) }
    },
    Probe(ROLE, "state of tasks", "heap bytes", "running tasks", TASKS) { tasks, _ ->
        retainedBytes { SimulatedShard(WORKERS_OF_LARGE_JOBS).apply { placeJob("survey", tasks) } }
    },
    Probe(ROLE, "document", "bytes", "open jobs", JOBS) { jobs, _ ->
        val shard = SimulatedShard(WORKERS_OF_JOB_RECORDS)
        repeat(jobs) { shard.placeJob("survey-$it", 1) }
        shard.documentText.length.toDouble()
    },
    Probe(ROLE, "document", "bytes", "finished jobs", JOBS) { jobs, _ ->
        val shard = SimulatedShard(WORKERS_OF_JOB_RECORDS)
        repeat(jobs) { shard.placeJob("survey-$it", 1) }
        shard.finishAll()
        shard.documentText.length.toDouble()
    },
    Probe(ROLE, "document of workers", "bytes", "workers", WORKERS) { workers, _ ->
        SimulatedShard(workers).documentText.length.toDouble()
    }
)

/** The number of measured runs in [medianCpuMicros], each of which takes one of the shards. */
private const val MEASURED_RUNS = 5
