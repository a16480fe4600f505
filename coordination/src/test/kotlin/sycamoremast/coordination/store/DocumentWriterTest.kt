package sycamoremast.coordination.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.CallFault
import sycamoremast.coordination.FakeKeyValueStore
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.ManualTime

class DocumentWriterTest {
    private val time = ManualTime()
    private val store = FakeKeyValueStore(time)

    private fun writer(id: String = "a", seed: Int = 1) = DocumentWriter.create(
        store,
        KEY,
        CallBudget(1_000.0, 1_000, time),
        timing = Timing(time, time, Random(seed)),
        writerId = id
    )

    private fun append(word: String): (String?) -> Either<Nothing, String> =
        { body -> listOfNotNull(body, word).joinToString(" ").right() }

    private fun body() = store.peek(KEY)?.let { StoredDocument.parse(it.value).body }

    /** Applies [faults] to the next calls named [name], one per call. */
    private fun failNext(name: String, vararg faults: CallFault) {
        val left = faults.toMutableList()
        store.fault = { call ->
            if (call == name) left.removeFirstOrNull() ?: CallFault.NONE else CallFault.NONE
        }
    }

    @Test
    fun `a change is committed exactly once whichever calls fail`() {
        val faults = listOf(
            listOf(CallFault.NOT_SENT),
            listOf(CallFault.REQUEST_LOST),
            listOf(CallFault.ANSWER_LOST),
            listOf(CallFault.DELAYED),
            listOf(CallFault.REQUEST_LOST, CallFault.ANSWER_LOST),
            listOf(CallFault.DELAYED, CallFault.REQUEST_LOST, CallFault.NOT_SENT)
        )
        for ((index, sequence) in faults.withIndex()) {
            failNext("compareAndSwap", *sequence.toTypedArray())
            val before = body().orEmpty()
            val outcome = writer("w$index").commit(append("x$index"))
            store.releaseDelayed()
            expectThat(outcome).describedAs("$sequence").isA<CommitOutcome.Committed>()
            expectThat(body()).isEqualTo("$before x$index".trim())
        }
    }

    @Test
    fun `a delayed write that takes effect between read-back and retry is committed once`() {
        writer("b").commit(append("start"))
        failNext("compareAndSwap", CallFault.DELAYED)
        val delayOnce = store.fault
        store.fault = { call ->
            delayOnce(call).also { if (call == "compareAndSwap") store.releaseDelayed() }
        }
        expectThat(writer().commit(append("x"))).isA<CommitOutcome.Committed>()
        expectThat(body()).isEqualTo("start x")
    }

    @Test
    fun `a lost write is applied again after a commit of another writer`() {
        writer("b").commit(append("start"))
        val other = writer("b")
        var failed = false
        store.fault = { call ->
            if (call == "compareAndSwap" && !failed) {
                failed = true
                other.commit(append("other"))
                CallFault.REQUEST_LOST
            } else {
                CallFault.NONE
            }
        }
        expectThat(writer().commit(append("x"))).isA<CommitOutcome.Committed>()
        expectThat(body()).isEqualTo("start other x")
    }

    @Test
    fun `an outcome that can't be read back is unknown and a write never sent is not committed`() {
        store.fault = { call ->
            if (call == "get") CallFault.NONE else CallFault.NOT_SENT
        }
        expectThat(writer().commit(append("x"))).isA<CommitOutcome.NotCommitted>()
        store.fault = { CallFault.NOT_SENT }
        expectThat(writer().commit(append("x"))).isA<CommitOutcome.NotCommitted>()
        val tested = writer()
        failNext("compareAndSwap", CallFault.ANSWER_LOST)
        val loseOnce = store.fault
        var down = false
        store.fault = { call ->
            if (down) {
                CallFault.NOT_SENT
            } else {
                loseOnce(call).also { down = it == CallFault.ANSWER_LOST }
            }
        }
        expectThat(tested.commit(append("y"))).isA<CommitOutcome.Unknown>()
        expectThat(body()).isEqualTo("y")
    }

    @Test
    fun `the outcome is unknown once other writers displaced the writer's sequence number`() {
        writer("z").commit(append("start"))
        var failed = false
        store.fault = { call ->
            if (call == "compareAndSwap" && !failed) {
                failed = true
                repeat(StoredDocument.MAX_WRITERS + 1) { writer("o$it").commit(append("o")) }
                CallFault.REQUEST_LOST
            } else {
                CallFault.NONE
            }
        }
        expectThat(writer().commit(append("x"))).isA<CommitOutcome.Unknown>()
    }

    @Test
    fun `a rejection is never based on an outdated document`() {
        val first = writer("a")
        first.commit(append("one"))
        writer("b").commit(append("two"))
        val outcome = first.commit { body ->
            if (body == "one") "outdated".left() else "$body three".right()
        }
        expectThat(outcome).isA<CommitOutcome.Committed>()
        expectThat(body()).isEqualTo("one two three")
        expectThat(first.commit { "no".left() }).isEqualTo(CommitOutcome.Rejected("no"))
    }

    @Test
    fun `a rejection of a document is not repeated after the document has changed`() {
        val other = writer("b")
        other.commit(append("open"))
        val rejectsOpen: (String?) -> Either<String, String> = { body ->
            if (body == "open") "still open".left() else body.orEmpty().right()
        }
        expectThat(
            writer().let { rejecting ->
                val first = rejecting.commit(rejectsOpen)
                other.commit { "closed".right() }
                first to rejecting.commit(rejectsOpen)
            }
        ).and {
            get { first }.isA<CommitOutcome.Rejected<String>>()
            get { second }.isA<CommitOutcome.Committed>()
        }
    }

    @Test
    fun `a body over the size limit is not committed`() {
        val large = "\"".repeat(WriterLimits().maxBytes - 1)
        expectThat(writer().commit { large.right() }).isA<CommitOutcome.NotCommitted>()
        expectThat(body()).isNull()
    }

    @Test
    fun `a value in an unknown format is left unchanged`() {
        store.putFromOtherClient(KEY, "v9|something newer")
        expectThat(writer().commit(append("x"))).isA<CommitOutcome.NotCommitted>()
        expectThat(store.peek(KEY)?.value).isEqualTo("v9|something newer")
    }

    @Test
    fun `an exception in a change reaches only its own caller`() {
        val tested = writer()
        assertThrows<IllegalStateException> { tested.commit<Nothing> { error("broken") } }
        expectThat(tested.commit(append("x"))).isA<CommitOutcome.Committed>()
    }

    @Test
    fun `waiting changes are committed in shared writes`() {
        val tested = writer()
        val entered = CountDownLatch(1)
        val started = CountDownLatch(1)
        val pool = Executors.newFixedThreadPool(CALLERS)
        store.fault = { _ ->
            entered.countDown()
            started.await()
            CallFault.NONE
        }
        fun submit(number: Int) = pool.submit(Callable { tested.commit(append("c$number")) })
        val first = submit(1)
        entered.await()
        val outcomes = (2..CALLERS).map(::submit) + first
        while (tested.waitingChangeCount < CALLERS - 1) Thread.onSpinWait()
        started.countDown()
        outcomes.forEach { expectThat(it.get()).isA<CommitOutcome.Committed>() }
        pool.shutdown()
        expectThat(body()?.split(" ")?.toSet()?.size).isEqualTo(CALLERS)
        expectThat(store.calls.getValue("compareAndSwap")).isLessThan(4)
    }

    @Test
    fun `every outcome agrees with the document under random faults`() {
        expectThat(firstWrongOutcome { it }).isNull()
    }

    @ParameterizedTest
    @EnumSource(PlantedStoreDefect::class)
    internal fun `a planted defect causes a wrong outcome`(defect: PlantedStoreDefect) {
        val wrong = firstWrongOutcome(defect::plantedIn)
        println("planted=$defect caught=$wrong")
        expectThat(wrong).isNotNull()
    }

    /** Returns the first outcome over [decorate]d stores that contradicts the document. */
    private fun firstWrongOutcome(decorate: (KeyValueStore) -> KeyValueStore): String? =
        (1..SEEDS).firstNotNullOfOrNull { seed -> firstWrongOutcome(seed, decorate) }

    private fun firstWrongOutcome(seed: Int, decorate: (KeyValueStore) -> KeyValueStore): String? {
        val random = Random(seed)
        val faulty = FakeKeyValueStore(time) {
            if (random.nextInt(100) < 50) CallFault.entries.random(random) else CallFault.NONE
        }
        val writers = (0..2).map {
            DocumentWriter.create(
                decorate(faulty),
                KEY,
                CallBudget(1_000.0, 1_000, time),
                WriterLimits(),
                Timing(time, time, Random(seed)),
                "w$it"
            )
        }
        val outcomes = (0 until 30).associate { number ->
            if (random.nextInt(100) < 30) faulty.releaseDelayed()
            "n$number" to writers.random(random).commit(append("n$number"))
        }
        faulty.releaseDelayed()
        val words = faulty.peek(KEY)?.let { StoredDocument.parse(it.value).body }.orEmpty()
            .split(" ").groupingBy { it }.eachCount()
        return outcomes.firstNotNullOfOrNull { (word, outcome) ->
            val allowed = when (outcome) {
                is CommitOutcome.Committed -> setOf(1)
                is CommitOutcome.Unknown -> setOf(0, 1)
                else -> setOf(0)
            }
            val seen = words[word] ?: 0
            "seed $seed: $word is there $seen times, but $outcome".takeIf { seen !in allowed }
        }
    }

    private companion object {
        const val KEY = "sycamoremast/test"
        const val CALLERS = 20
        const val SEEDS = 200
    }
}
