package org.auburnlever.fleet

import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.world.HostName
import java.nio.file.Path

/**
 * Settings of a process of the fleet scheduler.
 *
 * @property self name of this host, which is the IP address that the others reach it at
 * @property peerPort port of the links between the scheduler's processes, the same on all hosts
 * @property seedHosts hosts to ask first; at the first start of a deployment, the first voters
 * @property dataFolder where a control host keeps its log; null on entry hosts
 * @property firstStart whether the whole deployment starts for the first time, with empty disks
 * @property toleratedHostLosses control hosts that may be lost at the same time
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
)
