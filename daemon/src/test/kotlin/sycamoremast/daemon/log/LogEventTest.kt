package sycamoremast.daemon.log

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LogEventTest {
    @Test
    fun `formats an event on one line with its fields in order`() {
        expectThat(event("listening", "kind" to "peers", "address" to "127.0.0.1:7"))
            .isEqualTo("event=listening kind=peers address=127.0.0.1:7")
    }

    @Test
    fun `quotes values that would make the line ambiguous`() {
        val cases = mapOf(
            "" to "\"\"",
            "two words" to "\"two words\"",
            "a=b" to "\"a=b\"",
            "say \"no\"" to "\"say \\\"no\\\"\"",
            "first\nsecond" to "\"first\\nsecond\""
        )
        cases.forEach { (value, written) ->
            expectThat(event("e", "k" to value)).isEqualTo("event=e k=$written")
        }
    }

    @Test
    fun `omits fields with a null value`() {
        expectThat(event("e", "k" to null, "n" to 1)).isEqualTo("event=e n=1")
    }
}
