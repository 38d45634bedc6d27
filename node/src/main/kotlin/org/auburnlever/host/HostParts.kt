package org.auburnlever.host

import com.linecorp.armeria.server.Server
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import org.auburnlever.entry.Authenticator
import org.auburnlever.entry.ConfigurationChanges
import org.auburnlever.entry.ConfigurationService
import org.auburnlever.entry.Dispatcher
import org.auburnlever.entry.DomainRouting
import org.auburnlever.entry.EndpointAnnouncementService
import org.auburnlever.entry.EntryContext
import org.auburnlever.entry.ExplainService
import org.auburnlever.entry.Forwarder
import org.auburnlever.entry.HttpEndpointClient
import org.auburnlever.entry.JobService
import org.auburnlever.entry.JobSubmissions
import org.auburnlever.entry.LedgerReader
import org.auburnlever.entry.OperatorAccess
import org.auburnlever.entry.ProposalService
import org.auburnlever.entry.RequestTimeouts
import org.auburnlever.entry.RoutingGossip
import org.auburnlever.entry.RoutingMetrics
import org.auburnlever.entry.ServiceRequestService
import org.auburnlever.entry.SignOffService
import org.auburnlever.entry.StatusService
import org.auburnlever.entry.StatusSources
import org.auburnlever.entry.WorkerHeartbeatService
import org.auburnlever.observe.DumpService
import org.auburnlever.observe.HealthService
import org.auburnlever.observe.MetricsService
import org.auburnlever.observe.Readiness
import org.auburnlever.peer.GroupName
import org.auburnlever.routing.EntryHostShares
import org.auburnlever.routing.RoutingRules
import org.auburnlever.settings.Settings
import org.auburnlever.transport.PeerTransport
import org.auburnlever.world.HostName

/** What the parts of a host stand on. */
internal data class HostBase(
    val settings: Settings,
    val registry: PrometheusMeterRegistry,
    val clock: HostClock,
    val loops: EventLoopGroup,
    val scope: CoroutineScope,
    val transport: PeerTransport,
    val groups: HostGroups,
    val activeBundle: ActiveBundle,
)

/** Builds the parts of a host on top of its replicas and links. */
internal class HostParts(base: HostBase, readiness: () -> Readiness) {
    private val settings = base.settings
    private val clock = base.clock
    private val transport = base.transport
    private val groups = base.groups
    private val activeBundle = base.activeBundle
    private val cluster = ClusterView()
    private val inForce = { activeBundle.bundle }
    private val metrics = RoutingMetrics(base.registry)
    private val domain = settings.self.failureDomain
    private val routing = DomainRouting(RoutingRules(entryShares()), clock::nowMillis)
    private val forwarder = Forwarder(transport, transport, metrics, clock::nowMillis)
    private val dispatcher =
        Dispatcher(routing, forwarder, HttpEndpointClient(base.loops), metrics, inForce, clock::nowMillis)
    private val routingGossip = RoutingGossip(routing, forwarder, dispatcher, domain, clock::nowMillis)
    private val calls = LeaderCalls(transport, transport, { cluster.leader(it)?.leader }, ::replicas, clock)
    private val ledgers = ClusterLedgerClient(calls) { groups.ledgers[it] }
    private val configuration = ClusterConfigurationClient(calls, groups.configuration, activeBundle)
    private val timeouts =
        RequestTimeouts(settings.limits.defaultRequestTimeoutMillis, settings.limits.maxRequestTimeoutMillis)
    private val context = EntryContext(settings.self.host, base.scope, inForce, clock::nowMillis, timeouts)
    private val access = OperatorAccess(Authenticator(inForce), inForce)
    private val gossip =
        GossipSender(transport, groups, cluster, activeBundle, routingGossip, clock)
    private val reader = LedgerReader(ledgers)

    /** Service requests; drained at shutdown. */
    val requests = ServiceRequestService(context, dispatcher, ledgers, metrics)

    /** Repeated duties. */
    val upkeep = HostUpkeep(base.scope, transport, gossip, groups, settings.groups, activeBundle)

    private val dump = DumpService(
        access,
        mapOf(
            "groups" to groups,
            "bundle" to activeBundle,
            "routing" to dispatcher,
            "requests" to requests,
            "cluster" to cluster,
        ),
    )

    /** What answers other hosts. */
    val answering = AnsweringParts(
        groups,
        cluster,
        activeBundle,
        routingGossip,
        dispatcher,
        dump::collect,
        upkeep::fetchBundle,
    )

    private val jobs = JobSubmissions(settings.self.host, ledgers, inForce) { account, spec ->
        chooseDomain(account, spec, inForce(), cluster.capacities(), domain)
    }
    private val changes = ConfigurationChanges(configuration, settings.genesisOperators, ::announcedAccelerators)
    private val sources = StatusSources(
        transport,
        settings.groups.map { it.name },
        inForce,
        cluster::bundleVersions,
        cluster::leaders,
        cluster::capacities,
    )

    /** The HTTP server, not started yet. */
    val server: Server = buildServer(
        settings,
        HostServices(
            requests = requests,
            jobs = JobService(context, jobs) { readiness() is Readiness.ShuttingDown },
            announcements = EndpointAnnouncementService(routing, metrics, domain, inForce),
            heartbeats = WorkerHeartbeatService(context, domain, ledgers::heartbeat),
            proposals = ProposalService(changes),
            signOffs = SignOffService(changes),
            configuration = ConfigurationService(access, inForce),
            status = StatusService(access, sources, reader),
            explain = ExplainService(access, reader, sources::failureDomains),
            dump = dump,
            health = HealthService(readiness),
            metrics = MetricsService(base.registry),
        ),
        base.loops,
    )

    private fun entryShares(): EntryHostShares {
        val entryHosts = settings.hosts.filter { it.failureDomain == settings.self.failureDomain }.map { it.host }
        return EntryHostShares(entryHosts, settings.self.host)
    }

    private fun replicas(group: GroupName): List<HostName> =
        settings.groups.firstOrNull { it.name == group }?.replicas().orEmpty()

    private fun announcedAccelerators() = cluster.capacities().mapValues { it.value.acceleratorsTotal }
}
