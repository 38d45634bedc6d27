package org.auburnlever.host

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Route
import org.auburnlever.entry.ConfigurationService
import org.auburnlever.entry.EndpointAnnouncementService
import org.auburnlever.entry.ExplainService
import org.auburnlever.entry.JobService
import org.auburnlever.entry.ProposalService
import org.auburnlever.entry.ServiceRequestService
import org.auburnlever.entry.SignOffService
import org.auburnlever.entry.StatusService
import org.auburnlever.entry.WorkerHeartbeatService
import org.auburnlever.observe.DumpService
import org.auburnlever.observe.HealthService
import org.auburnlever.observe.MetricsService
import org.auburnlever.wire.Paths

/** The HTTP services of a host. */
internal data class HostServices(
    val requests: ServiceRequestService,
    val jobs: JobService,
    val announcements: EndpointAnnouncementService,
    val heartbeats: WorkerHeartbeatService,
    val proposals: ProposalService,
    val signOffs: SignOffService,
    val configuration: ConfigurationService,
    val status: StatusService,
    val explain: ExplainService,
    val dump: DumpService,
    val health: HealthService,
    val metrics: MetricsService,
)

/** Returns the routes of all services; those whose requests are carried out once are wrapped with [track]. */
internal fun HostServices.routes(track: (HttpService) -> HttpService): List<Pair<Route, HttpService>> = listOf(
    route(HttpMethod.POST, "${Paths.SERVICES}/{service}/requests") to track(requests),
    route(HttpMethod.POST, Paths.JOBS) to track(jobs),
    route(HttpMethod.GET, "${Paths.JOBS}/{id}") to track(jobs),
    route(HttpMethod.DELETE, "${Paths.JOBS}/{id}") to track(jobs),
    route(HttpMethod.POST, Paths.ENDPOINT_ANNOUNCE) to announcements,
    route(HttpMethod.POST, Paths.WORKER_HEARTBEAT) to heartbeats,
    route(HttpMethod.POST, Paths.PROPOSALS) to track(proposals),
    route(HttpMethod.POST, Paths.SIGN_OFFS) to track(signOffs),
    route(HttpMethod.GET, Paths.CONFIGURATION) to configuration,
    route(HttpMethod.GET, Paths.STATUS) to status,
    route(HttpMethod.GET, ExplainService.PATTERN) to explain,
    route(HttpMethod.GET, Paths.DUMP) to dump,
    route(HttpMethod.GET, Paths.HEALTH) to health,
    route(HttpMethod.GET, Paths.METRICS) to metrics,
)

private fun route(method: HttpMethod, path: String): Route = Route.builder().methods(method).path(path).build()
