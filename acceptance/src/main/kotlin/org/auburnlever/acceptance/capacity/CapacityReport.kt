package org.auburnlever.acceptance.capacity

import org.auburnlever.codec.Codec
import java.util.Locale

/** Returns the measurement as JSON. */
internal fun Measurement.toJson(): String = Codec.json.encodeToString(Measurement.serializer(), this)

/** Returns the measurement as Markdown tables, followed by the timings. */
internal fun Measurement.toText(): String =
    (pointRows() + "" + slopeRows() + "" + timings.map { "${it.what}: ${it.millis} ms" }).joinToString("\n")

private fun Measurement.pointRows(): List<String> =
    listOf(
        "| quantity | size | host | roles | resident MiB | heap MiB | CPU % | link out B/s | link in B/s | disk B/s |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ) + points.flatMap { point -> point.hosts.map { row(point, it) } + point.backEnds.map { backEndRow(point, it) } }

private fun row(point: Point, use: HostUse): String {
    val numbers = listOf(use.residentMiB, use.heapMiB, use.cpuPercent).map { format("%.1f", it) } +
        listOf(use.linkSentBytes, use.linkReceivedBytes, use.diskBytes).map { format("%.0f", it) }
    val name = listOf(point.quantity, point.size.toString(), use.host, use.roles.joinToString(", "))
    return (name + numbers).joinToString(" | ", "| ", " |")
}

private fun backEndRow(point: Point, use: BackEndUse): String {
    val sent = format("%.0f", use.sentBytes)
    val received = format("%.0f", use.receivedBytes)
    return "| ${point.quantity} | ${point.size} | relayed ${use.name} | | | | | $sent | $received | |"
}

private fun Measurement.slopeRows(): List<String> =
    listOf(
        "| quantity | host | roles | measure | at zero | per 1,000 |",
        "| --- | --- | --- | --- | --- | --- |",
    ) + slopes.map { slope ->
        val line = listOf(slope.atZero, slope.perUnit * PER_THOUSAND).joinToString(" | ") { format("%.2f", it) }
        "| ${slope.quantity} | ${slope.host} | ${slope.roles.joinToString(", ")} | ${slope.measure} | $line |"
    }

private fun format(pattern: String, value: Double): String = String.format(Locale.ROOT, pattern, value)

private const val PER_THOUSAND = 1_000
