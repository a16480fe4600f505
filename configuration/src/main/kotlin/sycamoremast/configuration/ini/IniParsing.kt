/**
 * Runs ini4j's parser over a text and collects what it reports.
 *
 * The parser calls back without line numbers. It is therefore fed by a reader that hands over one
 * line a call, so that the number of lines handed over is the line of the callback. The parser
 * stops at the first line that it can't read; that line is then replaced, and the text is parsed
 * again, so that all such lines are reported.
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

internal class IniParsing(private val file: String, text: String) {
    private val lines = text.lines().toMutableList()
    private val lineCount = text.trimEnd('\r', '\n').lines().size
    private val unreadable = mutableListOf<IniError>()

    fun parse(): Either<NonEmptyList<IniError>, IniDocument> {
        replaceControlCharacters()
        var collector = collect()
        while (collector == null && unreadable.size < MAX_UNREADABLE_LINES) collector = collect()
        val errors = (unreadable + collector?.errors.orEmpty()).sortedBy { it.line }
        return errors.toNonEmptyListOrNull()?.left()
            ?: IniDocument(file, collector?.sections().orEmpty(), lineCount).right()
    }

    private fun replaceControlCharacters() {
        for ((i, line) in lines.withIndex()) {
            if (line.none { it.isISOControl() && it != '\t' }) continue
            reject(i + 1, "", "the line holds a control character")
        }
    }

    /** Returns what one pass collected, or null after it has replaced an unreadable line. */
    private fun collect(): SectionCollector? {
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
        unreadable += IniError(file, line, section, "", message)
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
        const val MAX_UNREADABLE_LINES = 100

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

/** Hands over one line a call and counts them. */
private class LineReader(private val lines: List<String>) : Reader() {
    var line = 0
        private set
    private var pending = ""

    override fun read(target: CharArray, offset: Int, length: Int): Int {
        if (pending.isEmpty()) {
            if (line == lines.size) return -1
            pending = lines[line++] + "\n"
        }
        val n = minOf(length, pending.length)
        pending.toCharArray(target, offset, 0, n)
        pending = pending.substring(n)
        return n
    }

    override fun close() = Unit
}

/** Collects sections and entries, and the errors that the parser itself lets pass. */
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
        val first = headers[name]
        if (first != null) {
            report("", "the section is already defined at line $first")
            return
        }
        headers[name] = reader.line
        entries[name] = mutableListOf()
    }

    override fun endSection() = Unit

    override fun handleComment(comment: String) = Unit

    override fun handleOption(name: String, value: String?) {
        val known = entries.getValue(sectionName)
        val first = known.find { it.key == name }
        when {
            first != null -> report(name, "the key is already set at line ${first.line}")
            else -> known += IniEntry(name, value.orEmpty(), reader.line)
        }
    }

    private fun report(key: String, message: String) {
        errors += IniError(file, reader.line, sectionName, key, message)
    }
}
