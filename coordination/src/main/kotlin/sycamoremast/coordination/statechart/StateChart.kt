/**
 * State charts that are kept in files and interpreted.
 *
 * A chart is a flat SCXML document: an `scxml` element with the `initial` state, `state` elements
 * with `transition` elements (`event`, `target`) and `final` elements. Identifiers in the file are
 * the lower-case, hyphenated names of the enum constants that the code uses, so that `in-progress`
 * stands for `IN_PROGRESS`. The file and the enums have to name the same states and events.
 */
package sycamoremast.coordination.statechart

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.reflect.KClass

/**
 * An immutable chart of states [S] and events [E].
 *
 * The chart keeps no current state: its user does, and asks for the [next] one.
 */
class StateChart<S : Enum<S>, E : Enum<E>> internal constructor(
    val initial: S,
    val finals: Set<S>,
    private val transitions: Map<S, Map<E, S>>
) {
    /** Returns all states, in the order of the file. */
    val states: Set<S> get() = transitions.keys

    /** Returns the state that follows [state] on [event], or the refused step if there is none. */
    fun next(state: S, event: E): Either<NoTransition<S, E>, S> =
        nextOrNull(state, event)?.right() ?: NoTransition(state, event).left()

    /** Returns the state that follows [state] on [event], or null if there is none. */
    fun nextOrNull(state: S, event: E): S? = transitions[state]?.get(event)

    /** Returns the events that lead out of [state]. */
    fun eventsFrom(state: S): Set<E> = transitions[state].orEmpty().keys

    /** Returns the states that no sequence of events reaches from [initial]. */
    fun unreachable(): Set<S> = states - reachableFrom(initial)

    /**
     * Returns the states that can't be left for good ends.
     *
     * Those are the states, other than final ones, with no transition to another state and, in a
     * chart that has final states, those from which none of them can be reached.
     */
    fun deadEnds(): Set<S> = states.filterTo(linkedSetOf()) { it !in finals && isDeadEnd(it) }

    private fun isDeadEnd(state: S): Boolean {
        val reached = reachableFrom(state)
        if (reached == setOf(state)) return true
        return finals.isNotEmpty() && reached.none { it in finals }
    }

    private fun reachableFrom(start: S): Set<S> {
        val reached = linkedSetOf(start)
        val open = ArrayDeque(listOf(start))
        while (open.isNotEmpty()) {
            val targets = transitions[open.removeFirst()].orEmpty().values
            targets.filterTo(open) { reached.add(it) }
        }
        return reached
    }

    companion object {
        /**
         * Returns the chart in the resource at [path], which is looked up beside the class [states].
         *
         * @throws StateChartFormatException if there is no such resource, if it is malformed, or if
         *   its states and events are not exactly those of [states] and [events]
         */
        fun <S : Enum<S>, E : Enum<E>> fromResource(
            path: String,
            states: KClass<S>,
            events: KClass<E>
        ): StateChart<S, E> {
            val stream = states.java.getResourceAsStream(path)
                ?: throw StateChartFormatException("no resource $path beside ${states.java.name}")
            val text = stream.use { it.readBytes().decodeToString() }
            return parse(text, states, events)
        }

        /**
         * Returns the chart that [text] describes.
         *
         * @throws StateChartFormatException if it is malformed, or if its states and events are not
         *   exactly those of [states] and [events]
         */
        fun <S : Enum<S>, E : Enum<E>> parse(
            text: String,
            states: KClass<S>,
            events: KClass<E>
        ): StateChart<S, E> = StateChartReader(states, events).read(text)
    }
}

/** An [event] that [state] does not take. */
data class NoTransition<S, E>(val state: S, val event: E)

/** Thrown for a chart that is malformed or does not match the code. */
class StateChartFormatException(message: String, cause: Throwable? = null) :
    IllegalArgumentException(message, cause)
