package sycamoremast.daemon.platform

import java.net.InetAddress
import java.net.ServerSocket
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

class UndelayedSocketsTest {
    @Test
    fun `sockets of the platform's client send each write at once`() {
        val loopback = InetAddress.getLoopbackAddress()
        val factory = testClient().socketFactory
        factory.createSocket().use { expectThat(it.tcpNoDelay).isTrue() }
        ServerSocket(0, 1, loopback).use { server ->
            factory.createSocket(loopback, server.localPort).use {
                expectThat(it.tcpNoDelay).isTrue()
            }
        }
    }
}
