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
import org.auburnlever.entry.RequestTracker
import org.auburnlever.entry.RoutingGossip
import org.auburnlever.entry.RoutingMetrics
import org.auburnlever.entry.ServiceRequestService
import org.auburnlever.entry.SignOffService
import org.auburnlever.entry.StatusService
import org.auburnlever.entry.StatusSources
import org.auburnlever.entry.WorkerHeartbeatService
import org.auburnlever.entry.earlyEndResponse
import org.auburnlever.model.HostName
import org.auburnlever.observe.DumpService
import org.auburnlever.observe.HealthService
import org.auburnlever.observe.MetricsService
import org.auburnlever.observe.Readiness
import org.auburnlever.peer.GroupName
import org.auburnlever.routing.EntryHostShares
import org.auburnlever.routing.RoutingRules
import org.auburnlever.settings.Settings
import org.auburnlever.transport.PeerTransport

/** Resources that the components of a host share. */
internal data class HostResources(
    val settings: Settings,
    val registry: PrometheusMeterRegistry,
    val clock: HostClock,
    val eventLoops: EventLoopGroup,
    val scope: CoroutineScope,
    val transport: PeerTransport,
    val groups: HostGroups,
    val activeBundle: ActiveBundle,
)

/** Creates the components of a host from its replicas, peer links and event loops. */
internal class HostComponents(resources: HostResources, readiness: () -> Readiness) {
    private val settings = resources.settings
    private val clock = resources.clock
    private val transport = resources.transport
    private val groups = resources.groups
    private val activeBundle = resources.activeBundle
    private val cluster = ClusterView()
    private val inForce = { activeBundle.bundle }
    private val metrics = RoutingMetrics(resources.registry)
    private val domain = settings.self.failureDomain
    private val routing = DomainRouting(RoutingRules(entryShares()), clock::nowMillis)
    private val forwarder = Forwarder(transport, transport, metrics, clock::nowMillis)
    private val dispatcher =
        Dispatcher(routing, forwarder, HttpEndpointClient(resources.eventLoops), metrics, inForce, clock::nowMillis)
    private val routingGossip = RoutingGossip(routing, forwarder, dispatcher, domain, clock::nowMillis)
    private val leaderClient = LeaderClient(transport, transport, { cluster.leader(it)?.leader }, ::replicas, clock)
    private val ledgers = ClusterLedgerClient(leaderClient) { groups.ledgers[it] }
    private val configuration = ClusterConfigurationClient(leaderClient, groups.configuration, activeBundle)
    private val timeouts =
        RequestTimeouts(settings.limits.defaultRequestTimeoutMillis, settings.limits.maxRequestTimeoutMillis)
    private val context = EntryContext(settings.self.host, resources.scope, inForce, clock::nowMillis, timeouts)
    private val access = OperatorAccess(Authenticator(inForce), inForce)
    private val gossip =
        GossipSender(transport, groups, cluster, activeBundle, routingGossip, clock)
    private val ledgerReader = LedgerReader(ledgers)

    /** The HTTP service of service requests; drained at shutdown. */
    val requests = ServiceRequestService(context, dispatcher, ledgers, metrics)

    /** The requests of the HTTP server; drained at shutdown after [requests]. */
    val tracker = RequestTracker(resources.registry, ::earlyEndResponse)

    /** Background tasks of the host. */
    val maintenance = HostMaintenance(resources.scope, transport, gossip, groups, settings.groups, activeBundle)

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

    /** The components that handle messages and calls of other hosts. */
    val peerComponents = PeerComponents(
        groups,
        cluster,
        activeBundle,
        routingGossip,
        dispatcher,
        dump::collect,
        maintenance::fetchBundle,
    )

    private val jobs = JobSubmissions(settings.self.host, ledgers, inForce) { account, spec ->
        chooseDomain(account, spec, inForce(), cluster.capacities(), domain)
    }
    private val configurationChanges =
        ConfigurationChanges(configuration, settings.genesisOperators, ::announcedAccelerators)
    private val statusSources = StatusSources(
        transport,
        settings.groups.map { it.name },
        inForce,
        cluster::bundleVersions,
        cluster::leaders,
        cluster::capacities,
    )

    /** The HTTP server; the caller starts it. */
    val server: Server = buildServer(
        settings,
        HostServices(
            requests = requests,
            jobs = JobService(context, jobs) { readiness() is Readiness.ShuttingDown },
            announcements = EndpointAnnouncementService(routing, metrics, domain, inForce),
            heartbeats = WorkerHeartbeatService(context, domain, ledgers::heartbeat),
            proposals = ProposalService(configurationChanges),
            signOffs = SignOffService(configurationChanges),
            configuration = ConfigurationService(access, inForce),
            status = StatusService(access, statusSources, ledgerReader),
            explain = ExplainService(access, ledgerReader, statusSources::failureDomains),
            dump = dump,
            health = HealthService(readiness),
            metrics = MetricsService(resources.registry),
        ),
        resources.eventLoops,
        tracker,
    )

    private fun entryShares(): EntryHostShares {
        val entryHosts = settings.hosts.filter { it.failureDomain == settings.self.failureDomain }.map { it.host }
        return EntryHostShares(entryHosts, settings.self.host)
    }

    private fun replicas(group: GroupName): List<HostName> =
        settings.groups.firstOrNull { it.name == group }?.replicas().orEmpty()

    private fun announcedAccelerators() = cluster.capacities().mapValues { it.value.acceleratorsTotal }
}
