/**
 * State charts that are read from SCXML files.
 *
 * A chart is a flat SCXML document: an `scxml` element with an `initial` attribute, which contains
 * `state` and `final` elements. A `state` contains `transition` elements with the attributes
 * `event` and `target`. Identifiers are the lower-case, hyphenated names of enum constants:
 * `in-progress` stands for `IN_PROGRESS`. The file and the enums must define the same states and
 * events.
 */
package sycamoremast.coordination.statechart

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.reflect.KClass

/**
 * An immutable chart of states [S] and events [E].
 *
 * A chart has no current state; callers keep the state and look up the [next] one.
 */
class StateChart<S : Enum<S>, E : Enum<E>> internal constructor(
    val initial: S,
    val finals: Set<S>,
    private val transitions: Map<S, Map<E, S>>
) {
    /** All states, in the order of the file. */
    val states: Set<S> get() = transitions.keys

    /** Returns the state that follows [state] on [event], or a [NoTransition] if there is none. */
    fun next(state: S, event: E): Either<NoTransition<S, E>, S> =
        nextOrNull(state, event)?.right() ?: NoTransition(state, event).left()

    /** Returns the state that follows [state] on [event], or null if there is none. */
    fun nextOrNull(state: S, event: E): S? = transitions[state]?.get(event)

    /** Returns the events for which [state] has a transition. */
    fun eventsFrom(state: S): Set<E> = transitions[state].orEmpty().keys

    /** Returns the states that can't be reached from [initial]. */
    fun unreachable(): Set<S> = states - reachableFrom(initial)

    /**
     * Returns the states other than final ones in which a process can get stuck.
     *
     * These are the states without a transition to another state and, in a chart with final states,
     * those from which no final state can be reached.
     */
    fun deadEnds(): Set<S> = states.filterTo(linkedSetOf()) { it !in finals && isDeadEnd(it) }

    private fun isDeadEnd(state: S): Boolean {
        val reached = reachableFrom(state)
        if (reached == setOf(state)) return true
        return finals.isNotEmpty() && reached.none { it in finals }
    }

    private fun reachableFrom(start: S): Set<S> {
        val reached = linkedSetOf(start)
        val pending = ArrayDeque(listOf(start))
        while (pending.isNotEmpty()) {
            val targets = transitions[pending.removeFirst()].orEmpty().values
            targets.filterTo(pending) { reached.add(it) }
        }
        return reached
    }

    companion object {
        /**
         * Returns the chart in the resource [path], which is resolved by the class [states].
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
                ?: throw StateChartFormatException("no resource $path for ${states.java.name}")
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

/** An [event] for which [state] has no transition. */
data class NoTransition<S, E>(val state: S, val event: E)

/** Thrown if a chart is malformed or does not match the enums of its states and events. */
class StateChartFormatException(message: String, cause: Throwable? = null) :
    IllegalArgumentException(message, cause)
