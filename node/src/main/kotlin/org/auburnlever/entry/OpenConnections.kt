package org.auburnlever.entry

import com.linecorp.armeria.client.ConnectionPoolListener
import com.linecorp.armeria.common.SessionProtocol
import io.netty.util.AttributeMap
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Counts the open connections to each endpoint, idle ones included. */
internal class OpenConnections : ConnectionPoolListener {
    private val counts = ConcurrentHashMap<InetSocketAddress, Int>()

    /** Returns the number of open connections to [address] (`IP:port`). */
    fun count(address: String): Int = counts[parse(address)] ?: 0

    override fun connectionOpen(
        protocol: SessionProtocol,
        remoteAddr: InetSocketAddress,
        localAddr: InetSocketAddress,
        attrs: AttributeMap,
    ) {
        counts.merge(remoteAddr, 1, Int::plus)
    }

    override fun connectionClosed(
        protocol: SessionProtocol,
        remoteAddr: InetSocketAddress,
        localAddr: InetSocketAddress,
        attrs: AttributeMap,
    ) {
        counts.computeIfPresent(remoteAddr) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Makes no name lookup, because addresses of endpoints are never host names. */
    private fun parse(address: String): InetSocketAddress =
        InetSocketAddress(
            InetAddress.getByName(address.substringBeforeLast(':')),
            address.substringAfterLast(':').toInt(),
        )
}
