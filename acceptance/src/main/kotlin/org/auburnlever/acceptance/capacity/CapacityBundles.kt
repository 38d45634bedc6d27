package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.SessionContext
import org.auburnlever.acceptance.awaitTrue
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.configuration.FailureDomain
import org.auburnlever.configuration.Operator
import org.auburnlever.configuration.Service
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.OperatorName
import org.auburnlever.model.RegionName
import org.auburnlever.model.ServiceName
import org.auburnlever.wire.Paths

/** Rolls out bundles with a given number of client accounts; the first failure domain owns all idempotency keys. */
internal class CapacityBundles(private val context: SessionContext) {
    private val deployment = context.deployment
    private val plan = deployment.plan
    private var version = 0L

    /**
     * Rolls out a bundle with [accounts] accounts and returns the time from its last signature until all hosts have it
     * in force.
     */
    fun rollOut(accounts: Int): Timing {
        version++
        val tools = deployment.operatorTools
        val (first, second) = deployment.operators
        val text = Codec.json.encodeToString(Bundle.serializer(), bundle(accounts))
        val file = tools.writeBundle(version, text)
        tools.propose(plan.hosts.first().address, first, file)
        tools.signOff(plan.hosts.last().address, second, file)
        val start = System.nanoTime()
        plan.hosts.map { it.name }.forEach { host ->
            awaitTrue("version $version on $host", IN_FORCE_LIMIT_MILLIS) { inForce(host) }
        }
        val millis = (System.nanoTime() - start) / NANOS_PER_MILLI
        return Timing("bundle of ${text.length} bytes, $accounts accounts: accepted until in force everywhere", millis)
    }

    private fun inForce(host: String): Boolean =
        context.read(host, Paths.CONFIGURATION)?.body?.startsWith("{\"version\":$version,") ?: false

    private fun bundle(accounts: Int) = Bundle(
        version = version,
        failureDomains = plan.failureDomains.map { FailureDomain(DomainName(it), RegionName(region(it))) },
        claimDomains = listOf(DomainName(plan.failureDomains.first())),
        operators = deployment.operators.map { Operator(OperatorName(it.name), it.publicKeyHex) },
        signOffThreshold = 2,
        accounts = (0 until accounts).map { account(it) },
        services = listOf(Service(ServiceName(SERVICE))),
        platformTokenDigests = listOf(context.platformToken.digest),
    )

    private fun account(index: Int): ClientAccount {
        val digest = if (index == 0) context.accountToken.digest else index.toString(HEX).padStart(DIGEST_LENGTH, '0')
        return ClientAccount(AccountName("team-$index"), listOf(digest), quotaAccelerators = QUOTA)
    }

    private fun region(domain: String): String = plan.hostsOf(domain).first().region

    companion object {
        /** Service of the endpoints and jobs of the measurement. */
        const val SERVICE = "tag"
        private const val IN_FORCE_LIMIT_MILLIS = 10_000L
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val HEX = 16
        private const val DIGEST_LENGTH = 64
        private const val QUOTA = 100_000
    }
}
