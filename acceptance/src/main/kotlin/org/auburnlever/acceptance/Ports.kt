package org.auburnlever.acceptance

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Finds free ports for servers on loopback.
 *
 * They lie below the range from which the operating system takes ports for outgoing connections; a port from that
 * range could be taken by a connection before its server listens.
 */
object Ports {
    private const val FIRST = 20_000
    private const val LAST = 32_000
    private const val ATTEMPTS = 1_000
    private val returned = mutableSetOf<Int>()

    /** Returns [count] different ports on which the operating system lets this process listen now. */
    @Synchronized
    fun findFree(count: Int): List<Int> {
        val found = generateSequence { Random.nextInt(FIRST, LAST) }
            .take(ATTEMPTS)
            .filter { it !in returned && isFree(it) }
            .distinct()
            .take(count)
            .toList()
        ensure(found.size == count) { "only ${found.size} of $count ports are free" }
        returned += found
        return found
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
