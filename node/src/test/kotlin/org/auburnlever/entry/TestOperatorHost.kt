package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.server.Server
import org.auburnlever.configuration.AcceptedBundle
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.configuration.ConfigurationReply
import org.auburnlever.configuration.ConfigurationState
import org.auburnlever.configuration.Operator
import org.auburnlever.configuration.apply
import org.auburnlever.configuration.digestHex
import org.auburnlever.host.ConfigurationClient
import org.auburnlever.host.LedgerClient
import org.auburnlever.host.SubmitError
import org.auburnlever.host.notSubmitted
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.peer.DomainCapacity
import org.auburnlever.peer.GroupLeader
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.wire.Paths
import java.net.InetSocketAddress

/** Serves the operator HTTP services on loopback, with the real state machine but no replicated log. */
internal class TestOperatorHost(operators: List<Operator>, accelerators: Int) : AutoCloseable {
    val configuration = LocalConfiguration(ConfigurationState(operators, genesisThreshold = 1))
    private val inForce = { configuration.inForce }
    private val access = OperatorAccess(Authenticator(inForce), inForce)
    private val changes = ConfigurationChanges(configuration, operators, { mapOf(THIES to accelerators) })
    private val ledgers = LedgerReader(TwoLedgers)
    private val sources = StatusSources(
        directory = TwoHosts,
        groups = listOf(GroupName("configuration"), GroupName("ledger/dakar-a")),
        inForce = inForce,
        bundleVersions = { mapOf(HostName("dakar-a-1") to 4L) },
        leaders = { mapOf(GroupName("configuration") to GroupLeader(term = 3, HostName("thies-a-1"))) },
        capacities = { mapOf(THIES to DomainCapacity("thies-a", acceleratorsTotal = 8, acceleratorsFree = 5)) },
    )
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .service(Paths.PROPOSALS, ProposalService(changes))
        .service(Paths.SIGN_OFFS, SignOffService(changes))
        .service(Paths.CONFIGURATION, ConfigurationService(access, inForce))
        .service(Paths.STATUS, StatusService(access, sources, ledgers))
        .service(ExplainService.PATTERN, ExplainService(access, ledgers) { sources.failureDomains() })
        .workerGroup(1)
        .build()
        .also { it.start().join() }

    fun post(path: String, body: String): AggregatedHttpResponse =
        client(token = null).post(path, body).aggregate().join()

    fun get(path: String, token: String? = null): AggregatedHttpResponse = client(token).get(path).aggregate().join()

    override fun close() {
        server.stop()
    }

    private fun client(token: String?): WebClient {
        val builder = WebClient.builder("http://127.0.0.1:${server.activeLocalPort()}")
        token?.let { builder.setHeader("authorization", "Bearer $it") }
        return builder.build()
    }

    private companion object {
        val THIES = DomainName("thies-a")
    }
}

/** Applies commands immediately; [failure], if set, replaces the reply to each of them. */
internal class LocalConfiguration(private var state: ConfigurationState) : ConfigurationClient {
    var failure: SubmitError? = null
    var submitted = 0
    override val inForce: Bundle? get() = state.accepted?.bundle

    /** Puts [bundle] in force without signatures. */
    fun putInForce(bundle: Bundle) {
        state = state.copy(accepted = AcceptedBundle(bundle, bundle.digestHex(), emptyList(), acceptedMillis = 0))
    }

    override suspend fun submit(
        command: ConfigurationCommand,
        timeoutMillis: Long,
    ): Result<ConfigurationReply, SubmitError> {
        submitted++
        val applied = state.apply(command, nowMillis = 0)
        state = applied.state
        return failure?.let { Err(it) } ?: Ok(applied.reply)
    }
}

private object TwoLedgers : LedgerClient {
    override suspend fun submit(
        domain: DomainName,
        command: LedgerCommand,
        timeoutMillis: Long,
    ): Result<LedgerReply, SubmitError> = Err(notSubmitted("not part of this test"))

    override suspend fun read(
        domain: DomainName,
        query: LedgerQuery,
        timeoutMillis: Long,
    ): Result<String, SubmitError> =
        if (domain.value == "thies-a") Ok("""{"query":"$query"}""") else Err(notSubmitted("no leader"))
}

private object TwoHosts : PeerDirectory {
    override val self = peer("thies-a-1", "thies", "thies-a")
    override val others = listOf(peer("dakar-a-1", "dakar", "dakar-a"))

    override fun reachable(): Set<HostName> = emptySet()

    private fun peer(host: String, region: String, domain: String) =
        Peer(HostName(host), RegionName(region), DomainName(domain), "127.0.0.1", 7101)
}
