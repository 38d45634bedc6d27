package org.auburnlever.fleet

import com.github.michaelbull.result.getOr
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerTransport
import org.auburnlever.workload.state.Queue
import java.util.concurrent.atomic.AtomicReference

/** Tracks the control hosts and connects to them, starting with the seed hosts of the settings. */
internal class FleetPeers(private val settings: FleetSettings, private val transport: PeerTransport) {
    private val known = AtomicReference(KnownHosts(settings.seedHosts))

    /** The queues of the desired state as last fetched by [refresh]; empty before. */
    @Volatile
    var queues: List<Queue> = emptyList()
        private set

    /** All control hosts that the group or the settings have named. */
    val all: List<HostName> get() = known.get().all

    /** Whether a member of the group is reachable. */
    val reachesMember: Boolean get() = known.get().reachesMember(transport.reachable())

    /** Returns the control hosts to ask for the leader. */
    fun members(): List<HostName> = known.get().toAsk(transport.reachable())

    /** Replaces the known members and connects to new ones. An empty list is ignored. */
    fun replace(hosts: List<HostName>) {
        if (hosts.isEmpty()) return
        known.updateAndGet { it.copy(members = hosts) }
        hosts.forEach(::dial)
    }

    /** Adds [hosts], which reloaded settings name, to the hosts to ask, and connects to them. */
    fun addSeeds(hosts: List<HostName>) {
        known.updateAndGet { it.withSeeds(hosts) }
        hosts.forEach(::dial)
    }

    /** Opens a link to [host] and keeps it open, unless there is one. */
    fun dial(host: HostName) = transport.add(peer(host, settings.peerPort))

    /**
     * Fetches the current members, and with [withQueues] the queues, from a random reachable host.
     *
     * Call it repeatedly, as changes are not announced. Returns whether a host answered that knows the members.
     */
    suspend fun refresh(withQueues: Boolean = false): Boolean {
        val reachable = transport.reachable()
        val target = all.filter { it in reachable }.randomOrNull()
        val request = PeerRequest.FleetMembers(withQueues)
        val reply = target?.let { transport.call(it, request, REFRESH_TIMEOUT_MILLIS).getOr(null) }
        if (reply !is PeerReply.FleetMembers) return false
        replace(reply.hosts)
        if (reply.queues.isNotEmpty()) queues = reply.queues
        return reply.hosts.isNotEmpty()
    }

    companion object {
        private const val REFRESH_TIMEOUT_MILLIS = 1_000L

        /** Processes of the fleet scheduler know only each other's address, so region and failure domain are empty. */
        private val UNKNOWN_REGION = RegionName("")
        private val UNKNOWN_DOMAIN = DomainName("")

        /** Returns the peer on [host], whose name is its IP address. */
        fun peer(host: HostName, port: Int) = Peer(host, UNKNOWN_REGION, UNKNOWN_DOMAIN, host.value, port)
    }
}
