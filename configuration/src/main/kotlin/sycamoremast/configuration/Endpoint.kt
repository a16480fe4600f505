/** Addresses as they stand in settings and on the command line. */
package sycamoremast.configuration

import java.net.InetAddress

/** An [ip] number, of version 4 or 6, with a [port]; port 0 lets the system choose one. */
data class Endpoint(val ip: String, val port: Int) {
    /** Returns `ip:port`, with brackets around an IPv6 number. */
    override fun toString(): String = if (':' in ip) "[$ip]:$port" else "$ip:$port"

    companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_OCTET = 255
        private val IPV4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
        private val IPV6 = Regex("""\[([0-9a-fA-F:]*:[0-9a-fA-F:.]*)]:(\d{1,5})""")

        /**
         * Returns the endpoint that [text] holds. Host names are not accepted.
         *
         * @throws IllegalArgumentException if [text] is not an IP number with a port
         */
        fun parse(text: String): Endpoint =
            requireNotNull(parseOrNull(text)) { "not an IP number with a port: '$text'" }

        /** Returns the endpoint that [text] holds, or null if it holds none. */
        fun parseOrNull(text: String): Endpoint? = parseIpv4(text) ?: parseIpv6(text)

        private fun parseIpv4(text: String): Endpoint? {
            val groups = IPV4.matchEntire(text)?.groupValues?.drop(1) ?: return null
            val octets = groups.dropLast(1).map { it.toInt() }
            if (octets.any { it > MAX_OCTET }) return null
            return of(octets.joinToString("."), groups.last())
        }

        private fun parseIpv6(text: String): Endpoint? {
            val (ip, port) = IPV6.matchEntire(text)?.destructured ?: return null
            if (runCatching { InetAddress.getByName(ip) }.isFailure) return null
            return of(ip, port)
        }

        private fun of(ip: String, port: String): Endpoint? =
            port.toInt().takeIf { it <= MAX_PORT }?.let { Endpoint(ip, it) }
    }
}
