package org.auburnlever.acceptance

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

/** Rolls out bundles and checks that all hosts put them in force. */
internal class ConfigurationSteps(private val context: SessionContext) {
    private val deployment = context.deployment
    private val plan = deployment.plan

    /** Proposes the bundle [version] through one host, signs it off through another and waits until all apply it. */
    fun rollOut(version: Long) {
        context.startSection("configuration version $version")
        val (first, second) = deployment.operators
        val file = deployment.operatorTools.writeBundle(version, json(version))
        val proposer = plan.hosts.first()
        val signer = plan.hosts.last()
        record("propose through ${proposer.name}", deployment.operatorTools.propose(proposer.address, first, file))
        record("sign off through ${signer.name}", deployment.operatorTools.signOff(signer.address, second, file))
        plan.hosts.forEach { host ->
            awaitTrue("version $version in force on ${host.name}", IN_FORCE_LIMIT_MILLIS) {
                inForce(host.name, version)
            }
        }
        context.transcript.add("in force on all ${plan.hosts.size} hosts within $IN_FORCE_LIMIT_MILLIS ms")
    }

    private fun record(what: String, result: String) = context.transcript.add("$what: $result")

    private fun inForce(host: String, version: Long): Boolean =
        context.read(host, Paths.CONFIGURATION)?.body?.startsWith("{\"version\":$version,") ?: false

    private fun json(version: Long): String = Codec.json.encodeToString(Bundle.serializer(), bundle(version))

    private fun bundle(version: Long) = Bundle(
        version = version,
        failureDomains = plan.failureDomains.map { FailureDomain(DomainName(it), RegionName(regionOf(it))) },
        claimDomains = plan.failureDomains.map { DomainName(it) },
        operators = deployment.operators.map { Operator(OperatorName(it.name), it.publicKeyHex) },
        signOffThreshold = 2,
        accounts = listOf(ClientAccount(AccountName("moulds"), listOf(context.accountToken.digest))),
        services = (listOf("tag", "simulate") + (2..version).map { "extra-$it" }).map { Service(ServiceName(it)) },
        platformTokenDigests = listOf(context.platformToken.digest),
    )

    private fun regionOf(domain: String): String = plan.hostsOf(domain).first().region

    private companion object {
        /** The time that invariant 8 of the design allows until a bundle is in force on all hosts. */
        const val IN_FORCE_LIMIT_MILLIS = 5_000L
    }
}
