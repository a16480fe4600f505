package sycamoremast.daemon.request

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RequestMetersTest {
    @Test
    fun `counts requests by service and outcome`() {
        val registry = SimpleMeterRegistry()
        val meters = RequestMeters(registry)
        listOf("answered", "not-run", "answered").forEach { meters.countOutcome("counting", it) }
        val answered = registry.get("sycamoremast.requests.outcomes")
            .tags("service", "counting", "outcome", "answered")
            .counter()
        expectThat(answered.count()).isEqualTo(2.0)
    }
}
