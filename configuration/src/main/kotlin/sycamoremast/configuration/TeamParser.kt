/** Parses a team's configuration from INI and maps validation errors to lines of the file. */
package sycamoremast.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.raise.nullable
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import sycamoremast.configuration.ini.IniDocument
import sycamoremast.configuration.ini.IniError
import sycamoremast.configuration.ini.IniSection
import sycamoremast.configuration.ini.SectionReader

/** Converts the sections of [document] to a [TeamConfiguration] and collects all errors. */
internal class TeamParser private constructor(private val document: IniDocument) {
    private val errors = mutableListOf<IniError>()
    private var team: Pair<String, Quota>? = null
    private val services = linkedMapOf<String, Service>()
    private val jobs = mutableListOf<Job>()
    private val serviceNames = document.sections
        .map { it.name.split(' ') }
        .filter { it.first() == SectionNames.SERVICE }
        .mapNotNull { it.getOrNull(1) }

    private fun parse(): Either<NonEmptyList<IniError>, TeamConfiguration> {
        requireOneTeam()
        val (routes, others) = document.sections.partition { kindOf(it) == SectionNames.ROUTE }
        others.forEach(::readSection)
        routes.forEach(::readSection)
        return sorted(errors)?.left() ?: validated()
    }

    private fun validated(): Either<NonEmptyList<IniError>, TeamConfiguration> {
        val (name, quota) = checkNotNull(team)
        val configuration = TeamConfiguration(name, quota, services.values.toList(), jobs)
        return sorted(configuration.validate().map(::toIniError))?.left() ?: configuration.right()
    }

    private fun sorted(all: List<IniError>) = all.sortedBy { it.line }.toNonEmptyListOrNull()

    private fun toIniError(error: ConfigurationError): IniError {
        val section = document.section(error.section)
        val line = section?.entry(error.key)?.line ?: section?.line ?: document.lineCount
        return IniError(document.file, line, error.section, error.key, error.message)
    }

    private fun requireOneTeam() {
        val teams = document.sections.filter { kindOf(it) == SectionNames.TEAM }
        if (teams.isEmpty()) {
            errors += IniError(document.file, document.lineCount, "", "", "no section [team NAME]")
        }
        teams.drop(1).forEach { reject(it, "a file holds one team only") }
    }

    private fun readSection(section: IniSection) {
        val words = section.name.split(' ')
        val reader = SectionReader(document, section, errors)
        when (words.first() to words.size) {
            SectionNames.TEAM to 2 -> readTeam(words[1], reader)
            SectionNames.SERVICE to 2 -> readService(words[1], reader)
            SectionNames.JOB to 2 -> readJob(words[1], reader)
            SectionNames.ROUTE to ROUTE_WORD_COUNT -> readRoute(section, words[1], words[2], reader)
            else -> return reject(section, "the section is unknown; known are $KNOWN_SECTIONS")
        }
        reader.rejectUnknownKeys()
    }

    private fun readTeam(name: String, reader: SectionReader) {
        val cpus = reader.long(Keys.MILLI_CPUS, ANY_AMOUNT)
        val memory = reader.long(Keys.MEMORY_MIB, ANY_AMOUNT)
        val accelerators = reader.long(Keys.ACCELERATORS, ANY_AMOUNT, default = 0)
        nullable { name to Quota(cpus.bind(), memory.bind(), accelerators.bind()) }
            ?.let { team = it }
    }

    private fun readService(name: String, reader: SectionReader) {
        val deadline = reader.duration(Keys.DEADLINE)
        val percent = reader.int(Keys.RETRY_PERCENT, ANY_INT, Service.DEFAULT_RETRY_PERCENT)
        nullable { Service(name, deadline.bind(), retryPercent = percent.bind()) }
            ?.let { services[name] = it }
    }

    private fun readRoute(
        section: IniSection,
        serviceName: String,
        name: String,
        reader: SectionReader
    ) {
        if (serviceName !in serviceNames) reject(section, "there is no [service $serviceName]")
        val prefix = reader.text(Keys.PATH_PREFIX)
        val expected = reader.duration(Keys.EXPECTED)
        val idempotent = reader.boolean(Keys.IDEMPOTENT, default = false)
        val route = nullable { Route(name, prefix.bind(), expected.bind(), idempotent.bind()) }
        val service = services[serviceName]
        if (route == null || service == null) return
        services[serviceName] = service.copy(routes = service.routes + route)
    }

    private fun readJob(name: String, reader: SectionReader) {
        val zone = reader.text(Keys.AVAILABILITY_ZONE)
        val tasks = reader.int(Keys.TASKS, ANY_INT)
        val cpus = reader.long(Keys.MILLI_CPUS, ANY_AMOUNT)
        val memory = reader.long(Keys.MEMORY_MIB, ANY_AMOUNT)
        val accelerators = reader.long(Keys.ACCELERATORS, ANY_AMOUNT, default = 0)
        val expected = reader.duration(Keys.EXPECTED)
        val repeat = reader.choice(Keys.REPEAT, ChoiceNames.REPEAT, Repeat.FROM_CHECKPOINT)
        val urgency = reader.choice(Keys.URGENCY, ChoiceNames.URGENCY, Urgency.NORMAL)
        val moveAfter = if (reader.has(Keys.MOVE_AFTER)) reader.duration(Keys.MOVE_AFTER) else null
        val command = if (reader.has(Keys.COMMAND)) reader.text(Keys.COMMAND) else ""
        val job = nullable {
            Job(
                name,
                availabilityZone = zone.bind(),
                tasks = tasks.bind(),
                milliCpus = cpus.bind(),
                memoryMib = memory.bind(),
                accelerators = accelerators.bind(),
                expected = expected.bind(),
                repeat = repeat.bind(),
                urgency = urgency.bind(),
                moveAfter = moveAfter,
                command = command.bind()
            )
        }
        job?.let(jobs::add)
    }

    private fun reject(section: IniSection, message: String) {
        errors += IniError(document.file, section.line, section.name, "", message)
    }

    companion object {
        private const val ROUTE_WORD_COUNT = 3
        private const val KNOWN_SECTIONS =
            "[team NAME], [service NAME], [route SERVICE NAME], [job NAME]"
        private val ANY_AMOUNT = 0L..Long.MAX_VALUE
        private val ANY_INT = 0..Int.MAX_VALUE

        fun parse(file: String, text: String): Either<NonEmptyList<IniError>, TeamConfiguration> {
            val bytes = text.encodeToByteArray().size
            if (bytes <= TeamConfiguration.MAX_TEXT_BYTES) {
                return IniDocument.parse(file, text).flatMap { TeamParser(it).parse() }
            }
            val message = "$bytes bytes are more than ${TeamConfiguration.MAX_TEXT_BYTES}"
            return nonEmptyListOf(IniError(file, 1, "", "", message)).left()
        }

        private fun kindOf(section: IniSection) = section.name.substringBefore(' ')
    }
}
