/** Network addresses in settings and on the command line. */
package sycamoremast.configuration

import java.net.InetAddress

/** An IPv4 or IPv6 address [ip] and a [port]; port 0 lets the operating system choose one. */
data class Endpoint(val ip: String, val port: Int) {
    /** Returns `ip:port`, with brackets around an IPv6 address. */
    override fun toString(): String = if (':' in ip) "[$ip]:$port" else "$ip:$port"

    companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_OCTET = 255
        private val IPV4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
        private val IPV6 = Regex("""\[([0-9a-fA-F:]*:[0-9a-fA-F:.]*)]:(\d{1,5})""")

        /**
         * Returns the endpoint written as [text]. Host names are not accepted.
         *
         * @throws IllegalArgumentException if [text] is not an IP address and a port
         */
        fun parse(text: String): Endpoint =
            requireNotNull(parseOrNull(text)) { "not an IP number with a port: '$text'" }

        /** Returns the endpoint written as [text], or null if [text] is not an endpoint. */
        fun parseOrNull(text: String): Endpoint? = parseIpv4(text) ?: parseIpv6(text)

        private fun parseIpv4(text: String): Endpoint? {
            val groups = IPV4.matchEntire(text)?.groupValues?.drop(1) ?: return null
            val octets = groups.dropLast(1).map { it.toInt() }
            if (octets.any { it > MAX_OCTET }) return null
            return endpointOf(octets.joinToString("."), groups.last())
        }

        private fun parseIpv6(text: String): Endpoint? {
            val (ip, port) = IPV6.matchEntire(text)?.destructured ?: return null
            if (runCatching { InetAddress.getByName(ip) }.isFailure) return null
            return endpointOf(ip, port)
        }

        private fun endpointOf(ip: String, port: String): Endpoint? =
            port.toInt().takeIf { it <= MAX_PORT }?.let { Endpoint(ip, it) }
    }
}
