package org.auburnlever.fleet

import org.auburnlever.model.HostName
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.WorkloadLimits
import java.nio.file.Path

/**
 * Settings of a process of the fleet scheduler.
 *
 * @property self name of this host: the IP address at which other hosts reach it
 * @property peerPort port of the peer links, the same on all hosts
 * @property seedHosts hosts to connect to first; at the first start of a deployment, they become the initial voters
 * @property dataFolder folder of the log of a control host; null on entry hosts
 * @property firstStart whether the whole deployment is started for the first time, with empty disks
 * @property toleratedHostLosses number of control hosts that may be lost at the same time
 * @property catchUpMillis time from the start of a replacement host after which the operators count it as healthy, so
 *   that another host may be lost
 * @property features scheduling features that take effect in this deployment
 */
data class FleetSettings(
    val self: HostName,
    val peerPort: Int,
    val seedHosts: List<HostName>,
    val dataFolder: Path?,
    val firstStart: Boolean,
    val toleratedHostLosses: Int,
    val sharedKey: ByteArray,
    val limits: WorkloadLimits,
    val features: Set<SchedulingFeature> = emptySet(),
    val catchUpMillis: Long = DEFAULT_CATCH_UP_MILLIS,
) {
    private companion object {
        /** Shortest time that the operators' deployments set. */
        const val DEFAULT_CATCH_UP_MILLIS = 4_000L
    }
}
