package org.auburnlever.fleet

import com.github.michaelbull.result.onSuccess
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerTransport
import org.auburnlever.world.DomainName
import org.auburnlever.world.HostName
import org.auburnlever.world.RegionName
import java.util.concurrent.atomic.AtomicReference

/** The control hosts that this process knows, beginning with the founders of its settings. */
internal class FleetPeers(private val settings: FleetSettings, private val transport: PeerTransport) {
    private val members = AtomicReference(settings.seedHosts)

    /** Control hosts to ask for the leader. */
    fun members(): List<HostName> = members.get()

    /** Replaces the known members and begins to dial new ones; an empty list changes nothing. */
    fun replace(hosts: List<HostName>) {
        if (hosts.isEmpty()) return
        members.set(hosts)
        hosts.forEach(::dial)
    }

    /** Begins to dial [host]. */
    fun dial(host: HostName) = transport.add(peer(host, settings.peerPort))

    /** Asks a reachable member for the present members; hosts are told of no list. */
    suspend fun refresh() {
        val reachable = transport.reachable()
        val target = (members() + settings.seedHosts).distinct().filter { it in reachable }.randomOrNull() ?: return
        transport.call(target, PeerRequest.FleetMembers, REFRESH_TIMEOUT_MILLIS).onSuccess { reply ->
            if (reply is PeerReply.FleetMembers) replace(reply.hosts)
        }
    }

    companion object {
        private const val REFRESH_TIMEOUT_MILLIS = 1_000L

        /** Processes of the fleet scheduler know each other's address only. */
        private val UNKNOWN_REGION = RegionName("")
        private val UNKNOWN_DOMAIN = DomainName("")

        /** The process on [host], which is named after its IP address. */
        fun peer(host: HostName, port: Int) = Peer(host, UNKNOWN_REGION, UNKNOWN_DOMAIN, host.value, port)
    }
}
