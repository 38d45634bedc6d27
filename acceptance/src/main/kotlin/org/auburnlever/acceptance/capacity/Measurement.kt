package org.auburnlever.acceptance.capacity

import kotlinx.serialization.Serializable

/** Use of one host over one window; bytes are per second, [roles] are those that it held in the window. */
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

/** Bytes per second that one stand-in back end spends on control, inside its connections. */
@Serializable
internal data class BackEndUse(val name: String, val sentBytes: Double, val receivedBytes: Double)

/** All hosts at one [size] of one [quantity]. */
@Serializable
internal data class Point(
    val quantity: String,
    val size: Int,
    val hosts: List<HostUse>,
    val backEnds: List<BackEndUse>,
)

/** A time that was measured from outside; [what] says from when to when. */
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

/** Everything that one run measured. */
@Serializable
internal data class Measurement(val points: List<Point>, val slopes: List<Slope>, val timings: List<Timing>)
