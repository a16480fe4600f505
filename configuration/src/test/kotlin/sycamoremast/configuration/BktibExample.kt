/** An example of an operator's program, which prints `examples/bktib/bktib.ini`. */
package sycamoremast.configuration

import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal fun bktib() = team("bktib") {
    quota(milliCpus = 960_000, memoryMib = 4_000_000, accelerators = 16)
    service("inspection-report") {
        deadline = 7.seconds
        route("field-check", "/field-check/", expected = 250.milliseconds, idempotent = true)
        route("certification-review", "/certification-review/", 4.seconds, idempotent = true)
        route("invoice", "/invoice/", expected = 400.milliseconds)
    }
    job("field-photo-index") {
        availabilityZone = "gauja"
        tasks = 4
        resources(milliCpus = 1_000, memoryMib = 1_024)
        expected = 2.seconds
        urgency = Urgency.URGENT
    }
    job("sigulda-anchor-survey") {
        availabilityZone = "sigulda"
        tasks = 3
        resources(milliCpus = 2_000, memoryMib = 2_048)
        expected = 4.seconds
        repeat = Repeat.NEVER
        command = "survey --anchors sigulda"
    }
    job("winter-damage-review") {
        availabilityZone = "cesis"
        tasks = 2
        resources(milliCpus = 2_000, memoryMib = 4_096)
        expected = 6.seconds
        moveAfter = 12.hours
    }
    job("gorge-monitoring") {
        availabilityZone = "gauja"
        resources(milliCpus = 1_000, memoryMib = 2_048)
        expected = 96.hours
    }
}

fun main() {
    bktib().fold({ errors -> errors.forEach(::println) }, { print(it.toIni()) })
}
