/**
 * Adds line numbers and complete error lists to ini4j's parser.
 *
 * ini4j's callbacks carry no line numbers. Its input therefore comes from a reader that returns
 * one line per call, so that the number of lines read is the line of the current callback. ini4j
 * stops at the first line with a syntax error; that line is then replaced and the text parsed
 * again, so that all syntax errors are reported.
 */
package sycamoremast.configuration.ini

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import java.io.Reader
import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser

/** Parses [text] to an [IniDocument]; [file] names the source in error messages. */
internal class IniDocumentParser(private val file: String, text: String) {
    private val lines = text.lines().toMutableList()
    private val lineCount = text.trimEnd('\r', '\n').lines().size
    private val syntaxErrors = mutableListOf<IniError>()

    fun parse(): Either<NonEmptyList<IniError>, IniDocument> {
        rejectControlCharacters()
        var collector = parseOnce()
        while (collector == null && syntaxErrors.size < MAX_SYNTAX_ERRORS) collector = parseOnce()
        val errors = (syntaxErrors + collector?.errors.orEmpty()).sortedBy { it.line }
        return errors.toNonEmptyListOrNull()?.left()
            ?: IniDocument(file, collector?.sections().orEmpty(), lineCount).right()
    }

    private fun rejectControlCharacters() {
        for ((i, line) in lines.withIndex()) {
            if (line.none { it.isISOControl() && it != '\t' }) continue
            reject(i + 1, "", "the line holds a control character")
        }
    }

    /** Returns the result of one pass, or null after replacing a line with a syntax error. */
    private fun parseOnce(): SectionCollector? {
        val reader = LineReader(lines)
        val collector = SectionCollector(file, reader)
        return try {
            PARSER.parse(reader, collector)
            collector
        } catch (_: InvalidFileFormatException) {
            reject(reader.line, collector.sectionName, describe(lines[reader.line - 1].trim()))
            null
        }
    }

    private fun reject(line: Int, section: String, message: String) {
        syntaxErrors += IniError(file, line, section, "", message)
        val isHeader = lines[line - 1].trimStart().startsWith("[")
        lines[line - 1] = if (isHeader) "[unreadable line $line]" else ""
    }

    private fun describe(line: String) = when {
        line.startsWith("[") -> "the section header is not of the form [name]: $line"
        line.startsWith("=") || line.startsWith(":") -> "the entry has no key: $line"
        '=' in line -> "the entry stands before the first section: $line"
        else -> "the line is neither [section] nor key = value: $line"
    }

    private companion object {
        const val MAX_SYNTAX_ERRORS = 100

        val PARSER: IniParser = IniParser.newInstance(
            Config().apply {
                isEscape = false
                isEscapeNewline = false
                isInclude = false
                isEmptyOption = false
                isGlobalSection = false
                isUnnamedSection = false
                isEmptySection = true
            }
        )
    }
}

/** Returns at most one line per call; [line] is the number of lines returned so far. */
private class LineReader(private val lines: List<String>) : Reader() {
    var line = 0
        private set
    private var remainder = ""

    override fun read(target: CharArray, offset: Int, length: Int): Int {
        if (remainder.isEmpty()) {
            if (line == lines.size) return -1
            remainder = lines[line++] + "\n"
        }
        val n = minOf(length, remainder.length)
        remainder.toCharArray(target, offset, 0, n)
        remainder = remainder.substring(n)
        return n
    }

    override fun close() = Unit
}

/** Collects sections and entries, and reports duplicates, which ini4j accepts. */
private class SectionCollector(private val file: String, private val reader: LineReader) :
    IniHandler {
    val errors = mutableListOf<IniError>()
    var sectionName = ""
        private set
    private val headers = linkedMapOf<String, Int>()
    private val entries = mutableMapOf<String, MutableList<IniEntry>>()

    fun sections(): List<IniSection> =
        headers.map { (name, line) -> IniSection(name, line, entries.getValue(name)) }

    override fun startIni() = Unit

    override fun endIni() = Unit

    override fun startSection(name: String) {
        sectionName = name
        val firstLine = headers[name]
        if (firstLine != null) {
            report("", "the section is already defined at line $firstLine")
            return
        }
        headers[name] = reader.line
        entries[name] = mutableListOf()
    }

    override fun endSection() = Unit

    override fun handleComment(comment: String) = Unit

    override fun handleOption(name: String, value: String?) {
        val sectionEntries = entries.getValue(sectionName)
        val first = sectionEntries.find { it.key == name }
        when {
            first != null -> report(name, "the key is already set at line ${first.line}")
            else -> sectionEntries += IniEntry(name, value.orEmpty(), reader.line)
        }
    }

    private fun report(key: String, message: String) {
        errors += IniError(file, reader.line, sectionName, key, message)
    }
}
