package org.auburnlever.entry

import com.github.michaelbull.result.getOrElse
import com.linecorp.armeria.common.AggregatedHttpResponse
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.configuration.Ed25519
import org.auburnlever.configuration.FailureDomain
import org.auburnlever.configuration.Guarantee
import org.auburnlever.configuration.Operator
import org.auburnlever.configuration.digestHex
import org.auburnlever.host.SubmitError
import org.auburnlever.host.notSubmitted
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.OperatorName
import org.auburnlever.model.RegionName
import org.auburnlever.model.Shape
import org.auburnlever.wire.ConfigurationChangeView
import org.auburnlever.wire.ConfigurationView
import org.auburnlever.wire.Headers
import org.auburnlever.wire.ProposalBody
import org.auburnlever.wire.SignOffBody
import java.security.KeyPairGenerator
import java.util.HexFormat
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class OperatorServicesTest {
    private val keys = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
    private val awa = Operator(OperatorName("awa"), HexFormat.of().formatHex(keys.public.encoded))
    private val host = TestOperatorHost(listOf(awa), accelerators = 8)
    private val first = bundle(version = 1, guaranteed = 8)

    @AfterTest
    fun stop() = host.close()

    private fun sign(text: String): String = Ed25519.sign(keys.private, text).getOrElse { error(it) }

    private fun propose(bundle: Bundle, signatureHex: String = sign(bundle.digestHex())): AggregatedHttpResponse {
        val body = ProposalBody(bundle, bundleText = null, awa.name, signatureHex)
        return host.post("/v1/configuration/proposals", Codec.json.encodeToString(ProposalBody.serializer(), body))
    }

    private fun AggregatedHttpResponse.summary(): String =
        "${status().code()} ${headers().get("auburn-outcome")} ${contentUtf8()}"

    /** Guards against a bundle text that parses to a bundle other than the signed one. */
    @Test
    fun `a bundle with comments can be proposed and read back`() {
        val text = "// first\n" + Codec.json.encodeToString(Bundle.serializer(), first)
        val body = ProposalBody(bundle = null, text, awa.name, sign(first.digestHex()))
        val json = Codec.json.encodeToString(ProposalBody.serializer(), body)
        val response = host.post("/v1/configuration/proposals", json)
        val view = Codec.json.decodeFromString(ConfigurationChangeView.serializer(), response.contentUtf8())
        assertEquals(ConfigurationChangeView("accepted", 1, first.digestHex()), view)
        val read = host.get("/v1/configuration", token = "platform").contentUtf8()
        val expected = ConfigurationView(1, first.digestHex(), first)
        assertEquals(expected, Codec.json.decodeFromString(ConfigurationView.serializer(), read))
    }

    /** Guards against a conflict response without the accepted bundle, and against another response to a resend. */
    @Test
    fun `a resend gets the first response and a late proposal gets the digest of the accepted bundle`() {
        val response = propose(first).contentUtf8()
        assertEquals(response, propose(first).contentUtf8())
        val late = propose(bundle(version = 1, guaranteed = 4))
        assertEquals(409, late.status().code())
        assertContains(late.contentUtf8(), "\"winnerDigestHex\":\"${first.digestHex()}\"")
        assertContains(late.contentUtf8(), "\"code\":\"version_conflict\"")
        assertEquals("refused", late.headers().get(Headers.OUTCOME))
        assertEquals("version_conflict", late.headers().get(Headers.ERROR_CODE))
    }

    /** Guards against unauthorized callers that fill the replicated log. */
    @Test
    fun `a wrong signature is refused without a log entry`() {
        val digest = first.digestHex()
        val body = Codec.json.encodeToString(SignOffBody.serializer(), SignOffBody(digest, awa.name, "00"))
        val signOff = host.post("/v1/configuration/sign-offs", body)
        val expected = "403 refused {\"code\":\"bad_signature\"," +
            "\"message\":\"the signature of operator \\\"awa\\\" over $digest does not verify\"," +
            "\"outcome\":\"refused\"}"
        val proposal = propose(first, signatureHex = "00")
        assertEquals(listOf(expected, expected), listOf(proposal.summary(), signOff.summary()))
        assertEquals(0, host.configuration.submitted)
    }

    /** Guards against an internal error for a body that does not match the schema. */
    @Test
    fun `a malformed body is a bad request`() {
        val bodies = listOf("", "{}", """{"operator":"awa","signatureHex":"00"}""", """{"bundelText":"x"}""")
        for (body in bodies) {
            assertEquals(400, host.post("/v1/configuration/proposals", body).status().code(), body)
            assertEquals(400, host.post("/v1/configuration/sign-offs", body).status().code(), body)
        }
    }

    /** Guards against guarantees that the announced workers cannot satisfy. */
    @Test
    fun `a bundle may not raise guarantees above the announced accelerators`() {
        host.configuration.putInForce(first)
        val refused = propose(bundle(version = 2, guaranteed = 9))
        assertEquals(422, refused.status().code())
        val rule = "9 accelerators is not permitted; permitted: at most 8"
        assertContains(refused.contentUtf8(), "guarantees in thies-a: $rule")
        assertEquals(0, host.configuration.submitted)
    }

    /** Guards against a deployment that cannot start: workers need a bundle before they can announce themselves. */
    @Test
    fun `the first bundle may guarantee accelerators that are not announced yet`() =
        assertEquals(200, propose(bundle(version = 1, guaranteed = 9)).status().code())

    /** Guards against a loss of workers that blocks changes which do not raise guarantees. */
    @Test
    fun `guarantees that are in force already may stay above the announced accelerators`() {
        host.configuration.putInForce(bundle(version = 1, guaranteed = 9))
        assertEquals(200, propose(bundle(version = 2, guaranteed = 9)).status().code())
    }

    /** Guards against a lost reply of the log that is reported as refused. */
    @Test
    fun `a change that may have taken effect is unknown and one without effect is refused`() {
        host.configuration.failure = SubmitError.Undecided("no answer from the leader")
        assertContains(propose(first).summary(), "504 unknown {\"code\":\"deadline_exceeded\"")
        host.configuration.failure = notSubmitted("no leader")
        assertContains(propose(first).summary(), "503 refused {\"code\":\"domain_unreachable\"")
    }

    /** Guards against access to the state without a token or with the token of a client account. */
    @Test
    fun `reads need a platform token`() {
        host.configuration.putInForce(first)
        for (path in listOf("/v1/configuration", "/v1/status", "/v1/explain/job/j1")) {
            assertEquals(listOf(401, 401), listOf(null, "account").map { host.get(path, it).status().code() }, path)
            assertEquals(200, host.get(path, "platform").status().code(), path)
        }
    }

    /** Guards against a status that hides unreachable hosts or ledgers. */
    @Test
    fun `the status before the first bundle lists hosts, groups and failure domains`() = assertEquals(
        """{"host":"thies-a-1","region":"thies","failureDomain":"thies-a","bundleVersion":0,"hosts":[""" +
            """{"host":"dakar-a-1","region":"dakar","failureDomain":"dakar-a","reachable":false,"bundleVersion":4},""" +
            """{"host":"thies-a-1","region":"thies","failureDomain":"thies-a","reachable":true,"bundleVersion":0}],""" +
            """"groups":[{"group":"configuration","leader":"thies-a-1","term":3},{"group":"ledger/dakar-a"}],""" +
            """"failureDomains":[{"failureDomain":"dakar-a","region":"dakar","hostsTotal":1,"hostsReachable":0,""" +
            """"ledgerError":"no leader"},{"failureDomain":"thies-a","region":"thies","hostsTotal":1,""" +
            """"hostsReachable":1,"acceleratorsTotal":8,"acceleratorsFree":5,"ledger":{"query":"Summary"}}]}""",
        host.get("/v1/status").contentUtf8(),
    )

    /** Guards against a failure domain without a leader that hides the explanations of the others. */
    @Test
    fun `explain queries every failure domain and rejects unknown kinds`() {
        assertEquals(
            """{"kind":"worker","name":"w1","failureDomains":[{"failureDomain":"dakar-a","error":"no leader"},""" +
                """{"failureDomain":"thies-a","document":{"query":"Explain(kind=worker, name=w1)"}}]}""",
            host.get("/v1/explain/worker/w1").contentUtf8(),
        )
        assertEquals(400, host.get("/v1/explain/rack/r1").status().code())
    }

    private fun bundle(version: Long, guaranteed: Int): Bundle {
        val guarantee = Guarantee(DomainName("thies-a"), Shape(taskCount = 1, acceleratorsPerTask = guaranteed))
        val accountToken = sha256Hex("account".encodeToByteArray())
        return Bundle(
            version = version,
            failureDomains = listOf(FailureDomain(DomainName("thies-a"), RegionName("thies"))),
            claimDomains = listOf(DomainName("thies-a")),
            operators = listOf(awa),
            signOffThreshold = 1,
            accounts = listOf(ClientAccount(AccountName("a"), listOf(accountToken), guarantees = listOf(guarantee))),
            services = emptyList(),
            platformTokenDigests = listOf(sha256Hex("platform".encodeToByteArray())),
        )
    }
}
