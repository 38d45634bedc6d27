package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.Ed25519
import org.auburnlever.configuration.digestHex
import org.auburnlever.wire.ProposalBody
import org.auburnlever.wire.SignOffBody
import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RemoteCommandsTest {
    private val folder: Path = createTempDirectory("auburnctl")
    private val key = folder.resolve("awa.key").toString()
    private val publicKey = auburnctl("keygen", key).out.trim()
    private val bundle = file("bundle.json", sampleBundle(publicKey))

    @AfterTest
    fun deleteFolder() {
        folder.toFile().deleteRecursively()
    }

    private fun file(name: String, text: String): String = folder.resolve(name).also { it.writeText(text) }.toString()

    private fun propose(vararg servers: String): RunResult {
        val options = servers.flatMap { listOf("--server", it) }
        return auburnctl("propose", bundle, "--operator", "awa", "--key", key, *options.toTypedArray())
    }

    private fun acceptedAnswer(): HttpResponse =
        jsonAnswer("""{"state":"accepted","version":1,"digestHex":"ab","missingSignatures":0}""")

    /** Guards against signatures that the servers can't verify. */
    @Test
    fun `propose and sign-off send signatures over the digest`() = StubServer(::acceptedAnswer).use { server ->
        assertEquals(RunResult(ExitCode.SUCCESS, "version 1 accepted, digest ab\n", ""), propose(server.address))
        val signOff = auburnctl("sign-off", bundle, "--operator", "awa", "--key", key, "--server", server.address)
        assertEquals(ExitCode.SUCCESS, signOff.code)
        val (proposal, signature) = server.requests
        val sent = Codec.json.decodeFromString(ProposalBody.serializer(), proposal.contentUtf8())
        val signed = Codec.json.decodeFromString(SignOffBody.serializer(), signature.contentUtf8())
        val digest = Codec.commentedJson
            .decodeFromString(Bundle.serializer(), checkNotNull(sent.bundleText))
            .digestHex()
        assertEquals(digest, signed.digestHex)
        assertTrue(Ed25519.verifies(publicKey, digest, sent.signatureHex))
        assertTrue(Ed25519.verifies(publicKey, digest, signed.signatureHex))
    }

    /** Guards against a sign-off of another bundle than the operator named. */
    @Test
    fun `sign-off takes a digest or a file, not both and not neither`() = StubServer(::acceptedAnswer).use { server ->
        val common = arrayOf("--operator", "awa", "--key", key, "--server", server.address)
        assertEquals(ExitCode.SUCCESS, auburnctl("sign-off", "--digest", "cd", *common).code)
        assertEquals(ExitCode.USAGE, auburnctl("sign-off", *common).code)
        assertEquals(ExitCode.USAGE, auburnctl("sign-off", bundle, "--digest", "cd", *common).code)
        assertEquals(1, server.requests.size)
    }

    /** Guards against scripts that take a lost answer for a refusal, or the reverse. */
    @Test
    fun `the exit code tells refused from unknown`() {
        val cases = listOf(
            Triple(HttpStatus.CONFLICT, "refused", ExitCode.REFUSED),
            Triple(HttpStatus.FORBIDDEN, "refused", ExitCode.REFUSED),
            Triple(HttpStatus.SERVICE_UNAVAILABLE, "refused", ExitCode.REFUSED),
            Triple(HttpStatus.BAD_GATEWAY, "failed", ExitCode.REFUSED),
            Triple(HttpStatus.GATEWAY_TIMEOUT, "unknown", ExitCode.UNKNOWN),
        )
        for ((status, outcome, code) in cases) {
            StubServer { errorAnswer(status, "internal", outcome) }.use { server ->
                val result = propose(server.address)
                assertEquals(code, result.code, "$status $outcome")
                assertEquals("auburnctl: ${server.address}: $outcome: the reason\n", result.err)
            }
        }
    }

    /** Guards against taking the error page of a load balancer for a refusal by the host behind it. */
    @Test
    fun `an error without an outcome is unknown`() =
        StubServer { HttpResponse.of(HttpStatus.BAD_GATEWAY) }.use { server ->
            assertEquals(ExitCode.UNKNOWN, propose(server.address).code)
        }

    /** Guards against reporting an unknown outcome for a request that no server can have received. */
    @Test
    fun `nothing was sent when no server accepts connections`() {
        val result = propose(CLOSED_ADDRESS)
        assertEquals(ExitCode.REFUSED, result.code)
        assertContains(result.err, "no server answered: $CLOSED_ADDRESS: ")
        assertContains(result.err, "Connection refused")
    }

    /** Guards against a client that waits forever, and against reporting its change as refused. */
    @Test
    fun `a change without an answer in time is unknown`() =
        StubServer { HttpResponse.streaming() }.use { server ->
            val args = arrayOf("job", "cancel", "j1", "--server", server.address, "--timeout-millis", "2000")
            assertEquals(ExitCode.UNKNOWN, auburnctl(*args).code)
            assertEquals(1, server.requests.size)
        }

    /** Guards against one unavailable host that makes commands fail although other hosts work. */
    @Test
    fun `the next server is tried after a closed port and after a refusal with 503`() =
        StubServer { errorAnswer(HttpStatus.SERVICE_UNAVAILABLE, "shutting_down", "refused") }.use { unavailable ->
            StubServer(::acceptedAnswer).use { healthy ->
                assertEquals(ExitCode.SUCCESS, propose(CLOSED_ADDRESS, unavailable.address, healthy.address).code)
                assertEquals(listOf(1, 1), listOf(unavailable.requests.size, healthy.requests.size))
            }
        }

    /** Guards against reporting a change as refused while an earlier server may still make it. */
    @Test
    fun `a refusal after a lost answer is unknown`() = StubServer(::lostAnswer).use { aborting ->
        StubServer { errorAnswer(HttpStatus.CONFLICT, "version_conflict", "refused") }.use { refusing ->
            val result = propose(aborting.address, refusing.address)
            assertEquals(ExitCode.UNKNOWN, result.code)
            assertContains(result.err, "a server tried before did not answer")
        }
    }

    /** Guards against a resend that runs a job twice: the key must reach the server unchanged. */
    @Test
    fun `job submit sends the given key or makes one and prints it first`() = StubServer(::jobAnswer).use { server ->
        val shape = """{"taskCount":1,"acceleratorsPerTask":2}"""
        val spec = file("job.json", """{"service":"mould","shape":$shape,"estimatedSeconds":60}""")
        val given = auburnctl("job", "submit", spec, "--key", "1-a", "--server", server.address)
        val made = auburnctl("job", "submit", spec, "--server", server.address)
        assertEquals(listOf(ExitCode.SUCCESS, ExitCode.SUCCESS), listOf(given.code, made.code))
        val keys = server.requests.map { it.headers().get("idempotency-key") }
        assertEquals(listOf(null, "true"), server.requests.map { it.headers().get("auburn-first-attempt") })
        assertEquals(listOf("key: 1-a\n", "key: ${keys[1]}\n"), listOf(given.err, made.err))
        assertTrue(Regex("[0-9]{10}-[0-9a-f]{24}").matches(checkNotNull(keys[1])))
        assertContains(given.out, "phase: queued, attempt 1\n")
    }

    /** Guards against sending a new key as a first attempt although a lost attempt carried it before. */
    @Test
    fun `only attempts up to the first lost one are marked as first`() = StubServer(::lostAnswer).use { aborting ->
        StubServer { HttpResponse.of("ok") }.use { healthy ->
            val servers = listOf(CLOSED_ADDRESS, aborting.address, healthy.address).flatMap { listOf("--server", it) }
            val result = auburnctl("request", "tag", "--not-repeatable", *servers.toTypedArray())
            assertEquals(ExitCode.SUCCESS, result.code)
            val requests = listOf(aborting, healthy).map { it.requests.single() }
            assertEquals(listOf("true", null), requests.map { it.headers().get("auburn-first-attempt") })
        }
    }

    /** Guards against a token that is not sent, or that is printed. */
    @Test
    fun `job show and cancel send the token and the id as one path segment`() = StubServer(::jobAnswer).use { server ->
        val options = arrayOf("--token-file", file("token", "secret\n"), "--server", server.address)
        val results = listOf(auburnctl("job", "show", "a/b c", *options), auburnctl("job", "cancel", "j1", *options))
        assertEquals(listOf(HttpMethod.GET, HttpMethod.DELETE), server.requests.map { it.method() })
        assertEquals(listOf("/v1/jobs/a%2Fb%20c", "/v1/jobs/j1"), server.requests.map { it.path() })
        assertEquals(setOf("Bearer secret"), server.requests.map { it.headers().get("authorization") }.toSet())
        assertTrue(results.none { "secret" in it.out + it.err })
    }

    /** Guards against missing headers, without which a non-repeatable request could run twice. */
    @Test
    fun `request sends its headers and writes the body of the answer unchanged`() =
        StubServer { HttpResponse.of("the answer") }.use { server ->
            val body = file("body", "input")
            val args = arrayOf("request", "tag", "--body-file", body, "--not-repeatable", "--key", "1-k", "--urgent")
            val result = auburnctl(*args, "--timeout-millis", "4000", "--server", server.address)
            assertEquals(RunResult(ExitCode.SUCCESS, "the answer", "key: 1-k\n"), result)
            val sent = server.requests.single()
            val names = listOf("auburn-repeatable", "auburn-urgent", "auburn-timeout-millis", "idempotency-key")
            assertEquals(listOf("false", "true", "4000", "1-k"), names.map { sent.headers().get(it) })
            assertEquals("/v1/services/tag/requests" to "input", sent.path() to sent.contentUtf8())
        }

    private fun jobAnswer(): HttpResponse = jsonAnswer(
        """{"jobId":"j1","account":"acme","failureDomain":"thies-a","phase":"queued","attempt":1,"later":0}""",
    )

    private fun sampleBundle(publicKey: String): String = """
        {
          "version": 1, // first
          "failureDomains": [{"name": "thies-a", "region": "thies"}],
          "claimDomains": ["thies-a"],
          "operators": [{"name": "awa", "publicKeyHex": "$publicKey"}],
          "signOffThreshold": 1,
          "services": [],
          "accounts": [],
          "platformTokenDigests": ["${"a".repeat(64)}"],
        }
    """.trimIndent()
}
