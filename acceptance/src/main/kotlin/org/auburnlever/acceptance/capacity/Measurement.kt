package org.auburnlever.acceptance.capacity

import kotlinx.serialization.Serializable

/** Resource usage of one host over one window; bytes are per second, [roles] are read at the end of the window. */
@Serializable
internal data class HostUse(
    val host: String,
    val roles: List<String>,
    val residentMiB: Double,
    val heapMiB: Double,
    val cpuPercent: Double,
    val linkSentBytes: Double,
    val linkReceivedBytes: Double,
    val diskBytes: Double,
)

/** Control traffic of one stand-in back end in bytes per second, without TCP and IP headers. */
@Serializable
internal data class BackEndUse(val name: String, val sentBytes: Double, val receivedBytes: Double)

/** Usage of all hosts and relayed back ends at one [size] of one [quantity]. */
@Serializable
internal data class Point(
    val quantity: String,
    val size: Int,
    val hosts: List<HostUse>,
    val backEnds: List<BackEndUse>,
)

/** A duration seen by the caller; [what] names its start and its end. */
@Serializable
internal data class Timing(val what: String, val millis: Long)

/** Change of one measure of one host for each unit of [quantity], fitted by least squares over [sizes]. */
@Serializable
internal data class Slope(
    val quantity: String,
    val host: String,
    val roles: List<String>,
    val sizes: List<Int>,
    val measure: String,
    val atZero: Double,
    val perUnit: Double,
)

/** Results of one run. */
@Serializable
internal data class Measurement(val points: List<Point>, val slopes: List<Slope>, val timings: List<Timing>)
