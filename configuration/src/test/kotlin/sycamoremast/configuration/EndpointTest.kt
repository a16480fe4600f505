package sycamoremast.configuration

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class EndpointTest {
    @ParameterizedTest
    @ValueSource(strings = ["127.0.0.1:0", "10.1.2.3:65535", "[::1]:80", "[fe80::1:2]:8080"])
    fun `toString returns the text that was parsed`(text: String) {
        expectThat(Endpoint.parse(text).toString()).isEqualTo(text)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "localhost:80", "127.0.0.1", "1.2.3:80", "1.2.3.4.5:80", "1.2.3.4:x",
            "1.2.3.4:65536", "256.2.3.4:80", "::1:80", "[::1]", "[1::2::3]:80", "[gauja]:80"
        ]
    )
    fun `parseOrNull returns null for host names and malformed addresses`(text: String) {
        expectThat(Endpoint.parseOrNull(text)).isNull()
    }
}
