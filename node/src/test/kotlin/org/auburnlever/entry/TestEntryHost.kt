package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.CommonPools
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.configuration.FailureDomain
import org.auburnlever.configuration.Limits
import org.auburnlever.configuration.Service
import org.auburnlever.host.LedgerClient
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.EndpointName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.model.ServiceName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.routing.EntryHostShares
import org.auburnlever.routing.RoutingRules
import org.auburnlever.transport.CallError
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerClient
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths

internal val TAGGING = ServiceName("tagging")
internal val HOME = DomainName("luzon-batangas")
internal val ACCOUNT = AccountName("salvabuhay")
internal const val ACCOUNT_TOKEN = "account-token"
internal const val PLATFORM_TOKEN = "platform-token"

internal val BUNDLE = Bundle(
    version = 1,
    failureDomains = listOf(FailureDomain(HOME, RegionName("luzon"))),
    claimDomains = listOf(HOME),
    operators = emptyList(),
    signOffThreshold = 1,
    accounts = listOf(ClientAccount(ACCOUNT, listOf(sha256Hex(ACCOUNT_TOKEN.encodeToByteArray())))),
    services = listOf(Service(TAGGING, maxQueue = 4)),
    platformTokenDigests = listOf(sha256Hex(PLATFORM_TOKEN.encodeToByteArray())),
    limits = Limits(maxRequestBytes = 10_000, maxStoredAnswerBytes = 100),
)

internal fun peer(host: String, region: String, domain: DomainName) =
    Peer(HostName(host), RegionName(region), domain, "127.0.0.1", 1)

/** A directory in which all other hosts are reachable. */
internal class FakePeerDirectory(override val self: Peer, override val others: List<Peer>) : PeerDirectory {
    override fun reachable(): Set<HostName> = others.map { it.host }.toSet()
}

/** Replies to calls to other hosts with [answer] and records the calls in [calls]. */
internal class FakePeerClient(
    private val answer: (HostName, PeerRequest) -> Result<PeerReply, CallError> = { _, _ ->
        Err(CallError.NotSent("no link"))
    },
) : PeerClient {
    val calls = mutableListOf<Pair<HostName, PeerRequest>>()

    override suspend fun call(
        host: HostName,
        request: PeerRequest,
        timeoutMillis: Long,
    ): Result<PeerReply, CallError> {
        calls += host to request
        return answer(host, request)
    }
}

/** An entry host on loopback whose ledger, peers and endpoints the test can replace. */
internal class TestEntryHost(
    ledger: LedgerClient,
    peers: PeerClient = FakePeerClient(),
    others: List<Peer> = emptyList(),
    endpoints: EndpointClient? = null,
    val clock: () -> Long = { System.nanoTime() / 1_000_000 },
    protocol: String = "h1c",
) : AutoCloseable {
    val meters = SimpleMeterRegistry()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val directory = FakePeerDirectory(peer("entry-1", "luzon", HOME), others)
    private val metrics = RoutingMetrics(meters)
    private val endpointClient = HttpEndpointClient(CommonPools.workerGroup())
    private val shares = EntryHostShares(listOf(directory.self.host), directory.self.host)
    val routing = DomainRouting(RoutingRules(shares), clock)
    val forwarder = Forwarder(directory, peers, metrics, clock)
    val dispatcher = Dispatcher(routing, forwarder, endpoints ?: endpointClient, metrics, { BUNDLE }, clock)
    val service = ServiceRequestService(
        EntryContext(directory.self.host, scope, { BUNDLE }, clock),
        dispatcher,
        ledger,
        metrics,
        bodyMemoryBytes = 15_000,
    )
    val tracker = RequestTracker(meters, ::earlyEndResponse)
    private val server = Server.builder()
        .http(0)
        .also { tracker.installOn(it) }
        .service("${Paths.SERVICES}/{service}/requests", tracker.track(service))
        .service(Paths.ENDPOINT_ANNOUNCE, EndpointAnnouncementService(routing, metrics, HOME) { BUNDLE })
        .build()
        .apply { start().join() }
    private val client = WebClient.of("$protocol://127.0.0.1:${server.activeLocalPort()}")

    fun announce(announcement: EndpointAnnouncement, token: String = PLATFORM_TOKEN): AggregatedHttpResponse =
        post(
            Paths.ENDPOINT_ANNOUNCE,
            Codec.json.encodeToString(EndpointAnnouncement.serializer(), announcement),
            "authorization" to "Bearer $token",
        )

    /** Sends a request of the account with additional [headers]. */
    fun request(body: String, vararg headers: Pair<String, String>): AggregatedHttpResponse =
        post("${Paths.SERVICES}/$TAGGING/requests", body, "authorization" to "Bearer $ACCOUNT_TOKEN", *headers)

    /** Sends a request that is not repeatable. */
    fun keyedRequest(key: String, body: String, timeoutMillis: Long = 5_000): AggregatedHttpResponse =
        request(
            body,
            Headers.REPEATABLE to "false",
            Headers.IDEMPOTENCY_KEY to key,
            Headers.TIMEOUT_MILLIS to "$timeoutMillis",
        )

    fun post(path: String, body: String, vararg headers: Pair<String, String>): AggregatedHttpResponse {
        val head = RequestHeaders.builder(HttpMethod.POST, path)
        headers.forEach { (name, value) -> head.add(name, value) }
        return client.execute(head.build(), body).aggregate().join()
    }

    override fun close() {
        scope.cancel()
        server.stop()
        endpointClient.close()
    }
}

internal fun announcement(
    port: Int,
    name: String = "minion-1",
    sequence: Long = 1,
    leaving: Boolean = false,
) = EndpointAnnouncement(
    endpoint = EndpointName(name),
    service = TAGGING,
    failureDomain = HOME,
    address = "127.0.0.1:$port",
    epochMillis = 1,
    sequence = sequence,
    leaving = leaving,
)

/** Outcome header of a response. */
internal val AggregatedHttpResponse.outcome: String? get() = headers().get(Headers.OUTCOME)

/** Error code header of a response. */
internal val AggregatedHttpResponse.errorCode: String? get() = headers().get(Headers.ERROR_CODE)
