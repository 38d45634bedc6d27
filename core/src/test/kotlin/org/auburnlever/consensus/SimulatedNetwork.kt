package org.auburnlever.consensus

import org.auburnlever.model.HostName
import kotlin.random.Random

private const val MAX_DELAY_MILLIS = 30L
private const val MAX_LONG_DELAY_MILLIS = 1_500L

/** A network that delays, reorders, duplicates and loses messages. */
internal class SimulatedNetwork(private val random: Random) {
    private class Packet(val dueMillis: Long, val to: HostName, val input: ReplicaInput.Received)

    /** Links, as pairs of sender and receiver, that lose every message. */
    val cutLinks = mutableSetOf<Pair<HostName, HostName>>()

    /** Whether messages on links outside [cutLinks] may also be lost, duplicated or delayed for long. */
    var faulty = false

    private val packets = mutableListOf<Packet>()

    fun send(from: ReplicaId, effect: ReplicaEffect.Send, nowMillis: Long) {
        val lost = faulty && random.nextInt(100) < 5
        if (from.host to effect.to.host in cutLinks || lost) return
        val copies = if (faulty && random.nextInt(100) < 5) 2 else 1
        repeat(copies) {
            val limit = if (faulty && random.nextInt(100) < 5) MAX_LONG_DELAY_MILLIS else MAX_DELAY_MILLIS
            val input = ReplicaInput.Received(from, effect.message, effect.to)
            packets += Packet(nowMillis + random.nextLong(1, limit), effect.to.host, input)
        }
    }

    /** Removes and returns the messages that have arrived at [host] by [nowMillis]. */
    fun receive(host: HostName, nowMillis: Long): List<ReplicaInput> {
        val arrived = packets.filter { it.to == host && it.dueMillis <= nowMillis }.sortedBy { it.dueMillis }
        if (arrived.isNotEmpty()) packets.removeAll { it.to == host && it.dueMillis <= nowMillis }
        return arrived.map { it.input }
    }

    fun isolate(host: HostName, others: List<HostName>) = others.forEach {
        cutLinks += host to it
        cutLinks += it to host
    }
}
