package sycamoremast.daemon.platform

import java.net.InetAddress
import java.net.ServerSocket
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

class NoDelaySocketFactoryTest {
    @Test
    fun `sockets of the platform client have TCP_NODELAY set`() {
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
