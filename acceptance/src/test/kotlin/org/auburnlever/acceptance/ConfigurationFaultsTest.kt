package org.auburnlever.acceptance

import com.github.michaelbull.result.getOrElse
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.Ed25519
import org.auburnlever.configuration.Service
import org.auburnlever.configuration.digestHex
import org.auburnlever.model.OperatorName
import org.auburnlever.model.ServiceName
import org.auburnlever.wire.ConfigurationChangeView
import org.auburnlever.wire.ConfigurationView
import org.auburnlever.wire.ConflictBody
import org.auburnlever.wire.Paths
import org.auburnlever.wire.ProposalBody
import org.auburnlever.wire.SignOffBody
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConfigurationFaultsTest {
    private val cluster = FaultCluster("configuration")

    @AfterTest
    fun close() = cluster.close()

    @Test
    fun `one of two bundles with the same version wins, and hosts that were away catch up to the newest version`() {
        // Guards against accepting two bundles with the same version, and against a host that returns to an older
        // bundle.
        cluster.start()
        race(version = 2)
        val suspended = cluster.awaitLeader("configuration", cluster.hosts.last())
        val killed = cluster.hosts.last { it != suspended && it.endsWith("-2") }
        cluster.deployment.process(suspended).suspend()
        cluster.deployment.process(killed).kill()
        val liveHosts = cluster.hosts - suspended - killed
        (3L..LAST_VERSION).forEach { version -> rollOut(version, liveHosts) }
        cluster.deployment.process(suspended).resume()
        cluster.deployment.startHost(killed)
        listOf(suspended, killed).forEach { awaitLastVersion(it) }
        val leader = cluster.awaitLeader("configuration", liveHosts.first())
        println("configuration leader $suspended was suspended, $leader leads now")
    }

    /** Proposes two bundles with [version], then signs both off at the same time, each through a host of its own. */
    private fun race(version: Long) {
        val bundles = listOf("left", "right").map { nextBundle(version, it, cluster.hosts.first()) }
        val (awa, moussa) = cluster.deployment.operators
        inParallel(listOf(0, 1)) { side ->
            val operator = if (side == 0) awa else moussa
            assertEquals(OK, propose(cluster.hosts[side], bundles[side], operator).status)
        }
        val answers = inParallel(listOf(0, 1)) { side ->
            val operator = if (side == 0) moussa else awa
            signOff(cluster.hosts[side + 2], bundles[side].digestHex(), operator)
        }
        assertEquals(setOf(OK, CONFLICT), answers.map { it.status }.toSet(), "$answers")
        val winnerIndex = answers.indexOfFirst { it.status == OK }
        val winnerDigest = bundles[winnerIndex].digestHex()
        checkVersionConflict(answers[1 - winnerIndex], winnerDigest, version)
        awaitInForce(version, winnerDigest, cluster.hosts)
        cluster.hosts.forEach { host ->
            val again = decodeAccepted(propose(host, bundles[winnerIndex], awa))
            assertEquals(ConfigurationChangeView("accepted", version, winnerDigest), again)
            checkVersionConflict(propose(host, bundles[1 - winnerIndex], moussa), winnerDigest, version)
        }
    }

    private fun checkVersionConflict(answer: HttpAnswer, winnerDigest: String, version: Long) {
        val body = Codec.json.decodeFromString(ConflictBody.serializer(), answer.body)
        assertEquals("version_conflict", answer.code)
        assertEquals("refused", answer.outcome)
        assertEquals(winnerDigest, body.winnerDigestHex)
        assertEquals(version, body.acceptedVersion)
    }

    private fun rollOut(version: Long, liveHosts: List<String>) {
        val bundle = nextBundle(version, "step", liveHosts[0])
        val (awa, moussa) = cluster.deployment.operators
        awaitTrue("version $version is open", ELECTION_LIMIT_MILLIS) { propose(liveHosts[0], bundle, awa).status == OK }
        assertEquals("accepted", decodeAccepted(signOff(liveHosts[1], bundle.digestHex(), moussa)).state)
        awaitInForce(version, bundle.digestHex(), liveHosts)
    }

    private fun awaitInForce(version: Long, digest: String, hosts: List<String>) {
        val since = System.nanoTime()
        awaitTrue("version $version on $hosts", IN_FORCE_LIMIT_MILLIS, { "${hosts.map { inForce(it)?.version }}" }) {
            hosts.all { inForce(it)?.digestHex == digest }
        }
        println("version $version in force after ${(System.nanoTime() - since) / NANOS_PER_MILLI} ms")
    }

    /** Waits until [host] shows the newest version; before that it may only show its old version or newer ones. */
    private fun awaitLastVersion(host: String) {
        await("$host answers", START_LIMIT_MILLIS) { inForce(host) }
        var shown = 2L
        awaitTrue("$host shows version $LAST_VERSION", IN_FORCE_LIMIT_MILLIS, { "it shows $shown" }) {
            val version = inForce(host)?.version ?: shown
            assertTrue(version >= shown, "$host went back from version $shown to $version")
            shown = version
            version == LAST_VERSION
        }
    }

    private fun inForce(host: String): ConfigurationView? = cluster.context.read(host, Paths.CONFIGURATION)?.let {
        Codec.json.decodeFromString(ConfigurationView.serializer(), it.body)
    }

    private fun nextBundle(version: Long, text: String, host: String): Bundle {
        val current = checkNotNull(inForce(host))
        val services = current.bundle.services + Service(ServiceName("$text-$version"))
        return current.bundle.copy(version = version, services = services)
    }

    private fun propose(host: String, bundle: Bundle, operator: OperatorKey): HttpAnswer {
        val body = ProposalBody(bundle, null, OperatorName(operator.name), sign(operator, bundle.digestHex()))
        return post(host, Paths.PROPOSALS, Codec.json.encodeToString(ProposalBody.serializer(), body))
    }

    private fun signOff(host: String, digest: String, operator: OperatorKey): HttpAnswer {
        val body = SignOffBody(digest, OperatorName(operator.name), sign(operator, digest))
        return post(host, Paths.SIGN_OFFS, Codec.json.encodeToString(SignOffBody.serializer(), body))
    }

    private fun sign(operator: OperatorKey, digest: String): String =
        Ed25519.privateKey(Files.readString(operator.privateKeyFile).trim())
            .getOrElse { error(it) }
            .let { key -> Ed25519.sign(key, digest).getOrElse { error(it) } }

    private fun post(host: String, path: String, json: String): HttpAnswer =
        HttpCalls.send(HttpCall("POST", cluster.plan.host(host).address, path, json))

    private fun decodeAccepted(answer: HttpAnswer): ConfigurationChangeView {
        assertEquals(OK, answer.status, answer.body)
        return Codec.json.decodeFromString(ConfigurationChangeView.serializer(), answer.body)
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val LAST_VERSION = 7L
        const val IN_FORCE_LIMIT_MILLIS = 5_000L
        const val ELECTION_LIMIT_MILLIS = 15_000L
        const val START_LIMIT_MILLIS = 15_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
