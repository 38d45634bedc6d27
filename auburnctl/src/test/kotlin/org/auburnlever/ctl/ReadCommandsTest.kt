package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ReadCommandsTest {
    private fun read(answer: String, vararg args: String): RunResult =
        StubServer { jsonAnswer(answer) }.use { auburnctl(*args, "--server", it.address) }

    /** Guards against tables that leave out a field or show it in another column. */
    @Test
    fun `status shows hosts, groups and failure domains`() = assertEquals(
        """
        host thies-a-1 in thies-a, thies
        bundle version 3 (ab)

        HOST       FAILURE DOMAIN  REACHABLE  BUNDLE
        thies-a-1  thies-a         yes        3
        dakar-a-1  dakar-a         no         -

        GROUP          LEADER     TERM
        configuration  thies-a-1  7
        ledger/dakar   -          -

        FAILURE DOMAIN  REGION  HOSTS  ACCELERATORS FREE  LEDGER
        thies-a         thies   1/1    5/264              33 workers; lost: w7; jobs: 2 queued; guarantees at risk: acme
        dakar-a         dakar   0/1    -                  no leader

        """.trimIndent(),
        read(STATUS, "status").out,
    )

    /** Guards against JSON output that differs from the answer of the server. */
    @Test
    fun `every read command prints the server's JSON with --output json`() {
        val commands = listOf(
            listOf("status"),
            listOf("configuration"),
            listOf("dump"),
            listOf("explain", "job", "j1"),
            listOf("job", "show", "j1"),
        )
        for (command in commands) {
            val result = read("""{"any":1}""", *command.toTypedArray(), "--output", "json")
            assertEquals(RunResult(ExitCode.SUCCESS, "{\"any\":1}\n", ""), result, "$command")
        }
    }

    /** Guards against a stack trace when a server answers with another document. */
    @Test
    fun `an answer with another layout fails with a message`() {
        val result = read("""{"any":1}""", "status")
        assertEquals(ExitCode.REFUSED, result.code)
        assertContains(result.err, "the answer can't be read")
    }

    /** Guards against a read that reports success although it printed no document. */
    @Test
    fun `a read that is refused or finds no server has code 1`() {
        StubServer { errorAnswer(HttpStatus.UNAUTHORIZED, "unauthorized", "refused") }.use {
            assertEquals(ExitCode.REFUSED, auburnctl("dump", "--server", it.address).code)
        }
        StubServer { HttpResponse.streaming() }.use {
            assertEquals(ExitCode.REFUSED, auburnctl("dump", "--server", it.address, "--timeout-millis", "300").code)
        }
        assertEquals(ExitCode.REFUSED, auburnctl("status", "--server", CLOSED_ADDRESS).code)
    }

    /** Guards against text output that hides a domain whose ledger can't be read. */
    @Test
    fun `explain shows each domain's document or error`() {
        val answer = """{"kind":"job","name":"j1","failureDomains":[
            {"failureDomain":"thies-a","document":{"placed":true}},{"failureDomain":"dakar-a","error":"no leader"}]}"""
        val expected = "thies-a: \n{\n    \"placed\": true\n}\ndakar-a: no leader\n"
        assertEquals(expected, read(answer, "explain", "job", "j1").out)
    }

    private companion object {
        const val STATUS = """{"host":"thies-a-1","region":"thies","failureDomain":"thies-a",
            "bundleVersion":3,"bundleDigestHex":"ab","hosts":[
            {"host":"thies-a-1","region":"thies","failureDomain":"thies-a","reachable":true,"bundleVersion":3},
            {"host":"dakar-a-1","region":"dakar","failureDomain":"dakar-a","reachable":false}],
            "groups":[{"group":"configuration","leader":"thies-a-1","term":7},{"group":"ledger/dakar"}],
            "failureDomains":[{"failureDomain":"thies-a","region":"thies","hostsTotal":1,"hostsReachable":1,
            "acceleratorsTotal":264,"acceleratorsFree":5,"ledger":
            {"workers":33,"workersLost":["w7"],"jobsByPhase":{"queued":2},"guaranteesAtRisk":[{"account":"acme"}]}},
            {"failureDomain":"dakar-a","region":"dakar","hostsTotal":1,"hostsReachable":0,
            "ledgerError":"no leader"}]}
        """
    }
}
