package sycamoremast.daemon.settings

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import sycamoremast.configuration.Endpoint

class DaemonSettingsTest {
    private val base = """
        [host]
        name = gauja-1
        availability-zone = gauja
        [listen]
        requests = 127.0.0.1:0
        operators = 127.0.0.1:0
        peers = 127.0.0.1:8003
        [key-value]
        address = 127.0.0.1:2379
        [host-list]
        address = [::1]:2380
    """.trimIndent()

    private fun errors(text: String) =
        DaemonSettings.parse("d.ini", text).fold({ all -> all.map { it.render() } }, { listOf() })

    @Test
    fun `omitted settings take their defaults`() {
        expectThat(DaemonSettings.parseOrNull(base)).isEqualTo(
            DaemonSettings(
                HostSettings("gauja-1", "gauja"),
                ListenSettings(
                    Endpoint("127.0.0.1", 0),
                    Endpoint("127.0.0.1", 0),
                    Endpoint("127.0.0.1", 8003)
                ),
                keyValue = KeyValueSettings(Endpoint("127.0.0.1", 2379)),
                hostList = HostListSettings(Endpoint("::1", 2380))
            )
        )
    }

    @Test
    fun `parse reads every section`() {
        val settings = DaemonSettings.parseOrNull(
            base + """

            [advertise]
            peers = 10.0.0.1:8003
            [peers]
            addresses = 10.0.0.2:8003, 10.0.0.3:8003
            heartbeat-millis = 100
            max-message-bytes = 4096
            [requests]
            max-body-bytes = 2048
            queue-limit = 7
            default-deadline-millis = 900
            [batch]
            shards = 2
            worker-lease-millis = 1000
            heartbeat-millis = 200
            [shutdown]
            grace-millis = 0
            [log]
            level = debug
            """.trimIndent()
        )
        expectThat(settings) {
            get { this?.advertise }
                .isEqualTo(AdvertiseSettings(peers = Endpoint("10.0.0.1", 8003)))
            get { this?.peers?.addresses }
                .isEqualTo(listOf(Endpoint("10.0.0.2", 8003), Endpoint("10.0.0.3", 8003)))
            get { this?.requests }.isEqualTo(RequestSettings(2048, 7, 900))
            get { this?.batch }.isEqualTo(BatchSettings(2, 1000, 200))
            get { this?.shutdown }.isEqualTo(ShutdownSettings(0))
            get { this?.log }.isEqualTo(LogSettings(LogLevel.DEBUG))
        }
    }

    @TestFactory
    fun `parse reports each kind of error`() = listOf(
        "" to "d.ini:1: [host] the section is missing",
        "nonsense" to "d.ini:1: the line is neither [section] nor key = value",
        "name = a" to "d.ini:1: the entry stands before the first section",
        "[host" to "d.ini:1: the section header is not of the form [name]",
        base.replace("name = gauja-1", "name = Gauja 1") to "d.ini:2: [host] name: must be 1 to",
        base.replace("name = gauja-1", "name =") to "d.ini:2: [host] name: must be 1 to 63",
        base.replace("name = gauja-1\n", "") to "d.ini:1: [host] name: the key is missing",
        base.replace("name = gauja-1", "name = a\nname = b") to
            "d.ini:3: [host] name: the key is already set at line 2",
        "$base\n[host]\nname = b" to "d.ini:12: [host] the section is already defined at line 1",
        "$base\n[hosts]" to "d.ini:12: [hosts] the section is unknown",
        "$base\nreload-millis = 3" to "d.ini:12: [host-list] reload-millis: the key is unknown",
        base.replace("127.0.0.1:8003", "localhost:8003") to
            "d.ini:7: [listen] peers: must be an IP number with a port",
        base.replace("127.0.0.1:8003", "127.0.0.1") to "d.ini:7: [listen] peers: must be an IP",
        base.replace("127.0.0.1:8003", "127.0.0.1:65536") to "d.ini:7: [listen] peers: must be",
        base.replace("127.0.0.1:8003", "127.0.0.256:80") to "d.ini:7: [listen] peers: must be",
        base.replace("127.0.0.1:8003", "0.0.0.0:8003") to
            "d.ini:7: [listen] peers: 0.0.0.0 stands for all addresses",
        base.replace("127.0.0.1:0", "127.0.0.1:8003") to
            "d.ini:7: [listen] peers: 127.0.0.1:8003 is already the address of requests",
        base.replace("127.0.0.1:2379", "127.0.0.1:0") to
            "d.ini:9: [key-value] address: the port must not be 0",
        base.replace("127.0.0.1:2379", "127.0.0.1:1\nlease-millis = 900") to
            "d.ini:8: [key-value] timeout-millis: must be less than half of lease-millis",
        "$base\n[batch]\nheartbeat-millis = 1500" to
            "d.ini:13: [batch] heartbeat-millis: must be less than half of worker-lease-millis",
        "$base\n[batch]\nshards = 0" to "d.ini:13: [batch] shards: must be a whole number from 1",
        "$base\n[batch]\nshards = 1.5" to "d.ini:13: [batch] shards: must be a whole number",
        "$base\n[requests]\nqueue-limit = 99999999999999999999" to
            "d.ini:13: [requests] queue-limit: must be a whole number from 1 to 1000000",
        "$base\n[peers]\naddresses = 127.0.0.1:1,," to "d.ini:13: [peers] addresses: must be IP",
        "$base\n[log]\nlevel = loud" to
            "d.ini:13: [log] level: must be one of trace, debug, info, warn, error",
        "$base\n[log]\nlevel = \u0000" to "d.ini:13: the line holds a control character"
    ).mapIndexed { i, (text, expected) ->
        DynamicTest.dynamicTest("file $i: $expected") {
            expectThat(errors(text).joinToString("\n")).contains(expected)
        }
    }

    @Test
    fun `parse reports all errors in order of line`() {
        val text = base.replace("name = gauja-1", "name = A")
            .replace("127.0.0.1:8003", "gauja:1")
            .replace("[key-value]\naddress = 127.0.0.1:2379\n", "") + "\n[log]\nlevel = x\n[x]"
        val errors = errors(text)
        expectThat(errors).hasSize(5)
        expectThat(errors.map { it.split(':')[1] }).containsExactly("2", "7", "11", "12", "12")
    }
}
