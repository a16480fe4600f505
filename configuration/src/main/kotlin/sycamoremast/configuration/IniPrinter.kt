/**
 * The INI form of a team's configuration.
 *
 * Each service, route and job has its own section. The section name is the kind followed by the
 * name; for a route, the service's name stands between them. Keys with their default value are
 * omitted.
 */
package sycamoremast.configuration

/** The names of the sections. */
internal object SectionNames {
    const val TEAM = "team"
    const val SERVICE = "service"
    const val ROUTE = "route"
    const val JOB = "job"

    fun team(name: String) = "$TEAM $name"

    fun service(name: String) = "$SERVICE $name"

    fun route(service: String, name: String) = "$ROUTE $service $name"

    fun job(name: String) = "$JOB $name"
}

/** The keys of all sections. */
internal object Keys {
    const val MILLI_CPUS = "milli-cpus"
    const val MEMORY_MIB = "memory-mib"
    const val ACCELERATORS = "accelerators"
    const val DEADLINE = "deadline"
    const val RETRY_PERCENT = "retry-percent"
    const val PATH_PREFIX = "path-prefix"
    const val EXPECTED = "expected"
    const val IDEMPOTENT = "idempotent"
    const val AVAILABILITY_ZONE = "availability-zone"
    const val TASKS = "tasks"
    const val REPEAT = "repeat"
    const val URGENCY = "urgency"
    const val MOVE_AFTER = "move-after"
    const val COMMAND = "command"
}

/** The texts of enum values in the INI form. */
internal object ChoiceNames {
    val REPEAT = mapOf(
        "from-checkpoint" to Repeat.FROM_CHECKPOINT,
        "never" to Repeat.NEVER
    )
    val URGENCY = mapOf("urgent" to Urgency.URGENT, "normal" to Urgency.NORMAL)

    fun <T> Map<String, T>.nameOf(value: T): String = entries.first { it.value == value }.key
}

/** Prints configurations as INI text. */
internal object IniPrinter {
    fun print(configuration: TeamConfiguration): String {
        val sections = listOf(team(configuration)) +
            configuration.services.flatMap { listOf(service(it)) + it.routes.map(route(it)) } +
            configuration.jobs.map(::job)
        return sections.joinToString("\n")
    }

    private fun team(configuration: TeamConfiguration) =
        section(SectionNames.team(configuration.team)) {
            entry(Keys.MILLI_CPUS, configuration.quota.milliCpus)
            entry(Keys.MEMORY_MIB, configuration.quota.memoryMib)
            entry(Keys.ACCELERATORS, configuration.quota.accelerators, default = 0L)
        }

    private fun service(service: Service) = section(SectionNames.service(service.name)) {
        entry(Keys.DEADLINE, service.deadline.toConfigurationText())
        entry(Keys.RETRY_PERCENT, service.retryPercent, Service.DEFAULT_RETRY_PERCENT)
    }

    private fun route(service: Service) = { route: Route ->
        section(SectionNames.route(service.name, route.name)) {
            entry(Keys.PATH_PREFIX, route.pathPrefix)
            entry(Keys.EXPECTED, route.expected.toConfigurationText())
            entry(Keys.IDEMPOTENT, route.idempotent, default = false)
        }
    }

    private fun job(job: Job) = section(SectionNames.job(job.name)) {
        entry(Keys.AVAILABILITY_ZONE, job.availabilityZone)
        entry(Keys.TASKS, job.tasks)
        entry(Keys.MILLI_CPUS, job.milliCpus)
        entry(Keys.MEMORY_MIB, job.memoryMib)
        entry(Keys.ACCELERATORS, job.accelerators, default = 0L)
        entry(Keys.EXPECTED, job.expected.toConfigurationText())
        with(ChoiceNames) {
            entry(Keys.REPEAT, REPEAT.nameOf(job.repeat), REPEAT.nameOf(Repeat.FROM_CHECKPOINT))
            entry(Keys.URGENCY, URGENCY.nameOf(job.urgency), URGENCY.nameOf(Urgency.NORMAL))
        }
        entry(Keys.MOVE_AFTER, job.moveAfter?.toConfigurationText().orEmpty(), default = "")
        entry(Keys.COMMAND, job.command, default = "")
    }

    private fun section(name: String, entries: StringBuilder.() -> Unit) = buildString {
        append("[$name]\n")
        entries()
    }

    private fun StringBuilder.entry(key: String, value: Any, default: Any? = null) {
        if (value != default) append("$key = $value\n")
    }
}
