/** Parses a [StateChart] from SCXML and validates it against the enums of states and events. */
package sycamoremast.coordination.statechart

import javax.xml.XMLConstants
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.reflect.KClass
import org.w3c.dom.Document
import org.w3c.dom.Element
import org.xml.sax.InputSource
import org.xml.sax.SAXException
import org.xml.sax.helpers.DefaultHandler

internal class StateChartReader<S : Enum<S>, E : Enum<E>>(states: KClass<S>, events: KClass<E>) {
    private val statesById = states.java.enumConstants.associateBy { it.chartId() }
    private val eventsById = events.java.enumConstants.associateBy { it.chartId() }

    fun read(text: String): StateChart<S, E> {
        val root = parseXml(text).documentElement
        if (root.localName != ROOT) throw malformed("root element ${root.localName}, not $ROOT")
        val elements = root.children()
        val transitions = linkedMapOf<S, Map<E, S>>()
        for (element in elements) {
            val state = stateOf(element, "id")
            if (state in transitions) throw malformed("duplicate state ${state.chartId()}")
            transitions[state] = transitionsOf(element)
        }
        requireComplete(transitions)
        val finals = elements.filter { it.localName == FINAL }.map { stateOf(it, "id") }
        return StateChart(stateOf(root, "initial"), finals.toSet(), transitions)
    }

    private fun transitionsOf(element: Element): Map<E, S> {
        val transitions = linkedMapOf<E, S>()
        when (element.localName) {
            STATE -> element.children().forEach { addTransition(it, transitions) }
            FINAL -> element.children().forEach {
                throw malformed("unexpected element ${it.localName} in $FINAL")
            }

            else -> throw malformed("unknown element ${element.localName}")
        }
        return transitions
    }

    private fun addTransition(element: Element, transitions: MutableMap<E, S>) {
        if (element.localName != TRANSITION) {
            throw malformed("unexpected element ${element.localName} in $STATE")
        }
        val event = eventOf(element)
        if (event in transitions) throw malformed("duplicate event ${event.chartId()} in a state")
        transitions[event] = stateOf(element, "target")
    }

    private fun requireComplete(transitions: Map<S, Map<E, S>>) {
        val missing = statesById.values - transitions.keys
        if (missing.isNotEmpty()) throw malformed("missing states: ${missing.ids()}")
        val unused = eventsById.values - transitions.values.flatMap { it.keys }.toSet()
        if (unused.isNotEmpty()) throw malformed("unused events: ${unused.ids()}")
    }

    private fun stateOf(element: Element, attribute: String): S {
        val id = element.required(attribute)
        return statesById[id] ?: throw malformed("unknown state $id")
    }

    private fun eventOf(element: Element): E {
        val id = element.required("event")
        return eventsById[id] ?: throw malformed("unknown event $id")
    }

    private fun parseXml(text: String): Document {
        val factory = DocumentBuilderFactory.newInstance()
        factory.isNamespaceAware = true
        factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true)
        factory.setFeature(DISALLOW_DOCTYPE, true)
        val builder = factory.newDocumentBuilder()
        builder.setErrorHandler(DefaultHandler())
        try {
            return builder.parse(InputSource(text.reader()))
        } catch (e: SAXException) {
            throw StateChartFormatException("malformed state chart: ${e.message}", e)
        }
    }

    private companion object {
        const val ROOT = "scxml"
        const val STATE = "state"
        const val FINAL = "final"
        const val TRANSITION = "transition"
        const val DISALLOW_DOCTYPE = "http://apache.org/xml/features/disallow-doctype-decl"
    }
}

private fun malformed(reason: String) = StateChartFormatException("malformed state chart: $reason")

private fun Enum<*>.chartId() = name.lowercase().replace('_', '-')

private fun Collection<Enum<*>>.ids() = joinToString { it.chartId() }

private fun Element.required(attribute: String) = getAttribute(attribute).ifEmpty {
    throw malformed("$localName without the attribute $attribute")
}

private fun Element.children(): List<Element> =
    (0 until childNodes.length).map { childNodes.item(it) }.filterIsInstance<Element>()
