package org.auburnlever.acceptance

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Finds free ports for servers on loopback.
 *
 * The ports are below the ephemeral range of the operating system, since an outgoing connection could take a port of
 * that range before its server listens.
 */
object Ports {
    private const val FIRST = 20_000
    private const val LAST = 32_000
    private const val ATTEMPTS = 1_000
    private val returned = mutableSetOf<Int>()

    /** Returns [count] different ports that are free now and were not returned before. */
    @Synchronized
    fun findFree(count: Int): List<Int> {
        val found = generateSequence { Random.nextInt(FIRST, LAST) }
            .take(ATTEMPTS)
            .filter { it !in returned && isFree(it) }
            .distinct()
            .take(count)
            .toList()
        ensure(found.size == count) { "found only ${found.size} of $count free ports between $FIRST and $LAST" }
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
