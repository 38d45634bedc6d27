package org.auburnlever.host

import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.settings.GroupSettings
import org.auburnlever.transport.PeerTransport
import java.util.concurrent.atomic.AtomicBoolean

private val logger = KotlinLogging.logger {}

/** Background tasks of a host: sends gossip, fetches newer bundles and requests admission after the loss of a disk. */
internal class HostMaintenance(
    private val scope: CoroutineScope,
    private val transport: PeerTransport,
    private val gossip: GossipSender,
    private val groups: HostGroups,
    private val groupSettings: List<GroupSettings>,
    private val activeBundle: ActiveBundle,
) {
    private val fetching = AtomicBoolean()

    fun start() {
        scope.launch {
            while (scope.isActive) {
                gossip.send()
                delay(GOSSIP_INTERVAL_MILLIS)
            }
        }
        scope.launch {
            while (scope.isActive) {
                delay(ADMISSION_RETRY_MILLIS)
                requestAdmission()
            }
        }
    }

    /** Fetches the bundle in force at [host] and activates it, unless another fetch is in progress. */
    fun fetchBundle(host: HostName) {
        if (!fetching.compareAndSet(false, true)) return
        scope.launch {
            try {
                transport.call(host, PeerRequest.FetchBundle, FETCH_TIMEOUT_MILLIS).onSuccess { reply ->
                    (reply as? PeerReply.BundleInForce)?.bundle?.let { activeBundle.activate(it) }
                }
            } finally {
                fetching.set(false)
            }
        }
    }

    /** Asks each host of a group to admit this host's replica if that lost its disk; only the leader admits it. */
    private suspend fun requestAdmission() {
        groups.runners.filter { it.view.role == null }.forEach { runner ->
            val replica = runner.view.replica
            logger.info { "replica $replica is not a member of group ${runner.group}; requesting admission" }
            others(runner.group).forEach { host -> requestAdmission(host, runner.group, replica) }
        }
    }

    private suspend fun requestAdmission(host: HostName, group: GroupName, replica: ReplicaId) {
        transport.call(host, PeerRequest.Admit(group, replica), ADMISSION_RETRY_MILLIS).onSuccess { reply ->
            if (reply is PeerReply.Ok) logger.info { "host $host admitted replica $replica to group $group" }
        }
    }

    private fun others(group: GroupName): List<HostName> =
        groupSettings.first { it.name == group }.replicas().filter { it != transport.self.host }

    private companion object {
        const val GOSSIP_INTERVAL_MILLIS = 500L
        const val ADMISSION_RETRY_MILLIS = 1_000L
        const val FETCH_TIMEOUT_MILLIS = 2_000L
    }
}
