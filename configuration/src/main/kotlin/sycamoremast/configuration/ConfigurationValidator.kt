/** Validates the contents of a team's configuration: names, ranges and duplicates. */
package sycamoremast.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds

/** A validation error at the [section] and [key] of the configuration's INI form. */
data class ConfigurationError(val section: String, val key: String, val message: String) {
    /** Returns `[section] key: message`, or `[section] message` if [key] is empty. */
    fun render(): String = if (key.isEmpty()) "[$section] $message" else "[$section] $key: $message"

    override fun toString(): String = render()
}

/** Collects the validation errors of [configuration]. */
internal class ConfigurationValidator(private val configuration: TeamConfiguration) {
    private val errors = mutableListOf<ConfigurationError>()
    private val quota = configuration.quota

    /** Returns all errors found; an empty list means that the configuration is valid. */
    fun validate(): List<ConfigurationError> {
        checkTeam()
        configuration.services.forEach(::checkService)
        configuration.jobs.forEach(::checkJob)
        rejectDuplicates(configuration.services.map { SectionNames.service(it.name) })
        rejectDuplicates(configuration.jobs.map { SectionNames.job(it.name) })
        return errors.toList()
    }

    private fun checkTeam() {
        val section = SectionNames.team(configuration.team)
        checkName(section, configuration.team)
        checkRange(section, Keys.MILLI_CPUS, quota.milliCpus, QUOTA_RANGE)
        checkRange(section, Keys.MEMORY_MIB, quota.memoryMib, QUOTA_RANGE)
        checkRange(section, Keys.ACCELERATORS, quota.accelerators, QUOTA_RANGE)
    }

    private fun checkService(service: Service) {
        val section = SectionNames.service(service.name)
        checkName(section, service.name)
        checkDuration(section, Keys.DEADLINE, service.deadline)
        checkRange(section, Keys.RETRY_PERCENT, service.retryPercent.toLong(), PERCENT_RANGE)
        service.routes.forEach { checkRoute(service, it) }
        rejectDuplicates(service.routes.map { SectionNames.route(service.name, it.name) })
        rejectDuplicatePrefixes(service)
    }

    private fun checkRoute(service: Service, route: Route) {
        val section = SectionNames.route(service.name, route.name)
        checkName(section, route.name)
        checkDuration(section, Keys.EXPECTED, route.expected)
        if (!PATH_PREFIX.matches(route.pathPrefix)) {
            val rule = "must be a path that starts with / and has no blanks, ? or #"
            reject(section, Keys.PATH_PREFIX, "$rule, but is '${route.pathPrefix}'")
        }
    }

    private fun rejectDuplicatePrefixes(service: Service) {
        for ((i, route) in service.routes.withIndex()) {
            val earlier = service.routes.take(i).find { it.pathPrefix == route.pathPrefix }
            if (earlier == null) continue
            val section = SectionNames.route(service.name, route.name)
            reject(section, Keys.PATH_PREFIX, "is already the prefix of route ${earlier.name}")
        }
    }

    private fun checkJob(job: Job) {
        val section = SectionNames.job(job.name)
        checkName(section, job.name)
        if (!NameRule.matches(job.availabilityZone)) {
            val message = "${NameRule.TEXT}, but is '${job.availabilityZone}'"
            reject(section, Keys.AVAILABILITY_ZONE, message)
        }
        checkRange(section, Keys.TASKS, job.tasks.toLong(), TASKS_RANGE)
        checkAmount(section, Keys.MILLI_CPUS, job.milliCpus, 1, quota.milliCpus)
        checkAmount(section, Keys.MEMORY_MIB, job.memoryMib, 1, quota.memoryMib)
        checkAmount(section, Keys.ACCELERATORS, job.accelerators, 0, quota.accelerators)
        checkDuration(section, Keys.EXPECTED, job.expected)
        job.moveAfter?.let { checkDuration(section, Keys.MOVE_AFTER, it) }
        if (job.command != job.command.trim() || job.command.any { it.isISOControl() }) {
            reject(section, Keys.COMMAND, "must be one line without blanks around it")
        }
    }

    /** Rejects a resource request of a task that is below [least] or above [quota]. */
    private fun checkAmount(section: String, key: String, amount: Long, least: Long, quota: Long) {
        when {
            amount < least -> reject(section, key, "must be at least $least, but is $amount")
            amount > quota -> reject(section, key, "can never run: $amount is above quota $quota")
        }
    }

    private fun checkName(section: String, name: String) {
        if (!NameRule.matches(
                name
            )
        ) {
            reject(section, "", "the name ${NameRule.TEXT}, but is '$name'")
        }
    }

    private fun checkRange(section: String, key: String, value: Long, range: LongRange) {
        if (value in range) return
        reject(section, key, "must be from ${range.first} to ${range.last}, but is $value")
    }

    private fun checkDuration(section: String, key: String, value: Duration) {
        val isWhole = value == value.inWholeMilliseconds.milliseconds
        if (isWhole && value in MIN_DURATION..MAX_DURATION) return
        val rule = "must be whole milliseconds from $MIN_DURATION to $MAX_DURATION"
        reject(section, key, "$rule, but is $value")
    }

    private fun rejectDuplicates(sections: List<String>) {
        sections.groupingBy { it }.eachCount()
            .filterValues { it > 1 }
            .forEach { (section, n) -> reject(section, "", "the section occurs $n times") }
    }

    private fun reject(section: String, key: String, message: String) {
        errors += ConfigurationError(section, key, message)
    }

    private companion object {
        val PATH_PREFIX = Regex("/[!-~&&[^?#]]{0,1023}")
        val QUOTA_RANGE = 0L..1_000_000_000_000L
        val PERCENT_RANGE = 0L..100L
        val TASKS_RANGE = 1L..100_000L
        val MIN_DURATION = 1.milliseconds
        val MAX_DURATION = 400.days
    }
}
