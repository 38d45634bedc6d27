package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.HttpCall
import org.auburnlever.acceptance.HttpCalls
import org.auburnlever.wire.Paths

/** Values that a host reports on its metrics page. */
internal data class MetricsReading(val linkSentBytes: Double, val linkReceivedBytes: Double, val heapBytes: Double) {
    companion object {
        /** Reads the page of the host at [address]. */
        fun of(address: String): MetricsReading {
            val lines = HttpCalls.send(HttpCall("GET", address, Paths.METRICS)).body.lines()
            return MetricsReading(
                linkSentBytes = sum(lines, "auburn_link_sent_bytes"),
                linkReceivedBytes = sum(lines, "auburn_link_received_bytes"),
                heapBytes = sum(lines, "process_heap_used_bytes"),
            )
        }

        /** Adds up every sample of [name], with or without the suffix of counters. */
        private fun sum(lines: List<String>, name: String): Double =
            lines.filter { it.startsWith(name) }.sumOf { it.substringAfterLast(' ').toDouble() }
    }
}
