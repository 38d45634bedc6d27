package org.auburnlever.acceptance.capacity

private val MEASURES: Map<String, (HostUse) -> Double> = mapOf(
    "residentMiB" to HostUse::residentMiB,
    "heapMiB" to HostUse::heapMiB,
    "cpuPercent" to HostUse::cpuPercent,
    "linkSentBytes" to HostUse::linkSentBytes,
    "linkReceivedBytes" to HostUse::linkReceivedBytes,
    "diskBytes" to HostUse::diskBytes,
)

/** Fits a line through each measure of each host, for every quantity with at least two sizes. */
internal fun fitSlopes(points: List<Point>): List<Slope> =
    points.groupBy { it.quantity }.filterValues { it.size > 1 }.flatMap { (quantity, group) ->
        group.first().hosts.flatMap { host -> MEASURES.keys.map { fitSlope(quantity, group, host.host, it) } }
    }

private fun fitSlope(quantity: String, points: List<Point>, host: String, measure: String): Slope {
    val uses = points.map { point -> point.hosts.first { it.host == host } }
    val values = uses.map(MEASURES.getValue(measure))
    val line = fitLine(points.map { it.size.toDouble() }, values)
    return Slope(quantity, host, uses.last().roles, points.map { it.size }, measure, line.intercept, line.slope)
}

/** The line `y = intercept + slope * x`. */
internal data class Line(val intercept: Double, val slope: Double)

/** Fits a line through the points ([xs], [ys]) by least squares; at least two of the xs must differ. */
internal fun fitLine(xs: List<Double>, ys: List<Double>): Line {
    val meanX = xs.average()
    val meanY = ys.average()
    val slope = xs.zip(ys).sumOf { (x, y) -> (x - meanX) * (y - meanY) } / xs.sumOf { (it - meanX) * (it - meanX) }
    return Line(meanY - slope * meanX, slope)
}
