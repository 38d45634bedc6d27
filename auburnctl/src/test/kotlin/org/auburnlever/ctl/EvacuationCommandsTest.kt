package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlin.test.Test
import kotlin.test.assertEquals

class EvacuationCommandsTest {
    private fun code(answer: HttpResponse, vararg args: String): ExitCode =
        StubServer { answer }.use { auburnctl("evacuation", *args, "--server", it.address).code }

    /** Guards against an order that reaches another path than the one that control hosts serve. */
    @Test
    fun `order and end send the method for the failure domain`() = StubServer { jsonAnswer("{}") }.use { server ->
        val result = auburnctl("evacuation", "order", "a", "--server", server.address)
        assertEquals(RunResult(ExitCode.SUCCESS, "failure domain a: evacuated\n", ""), result)
        assertEquals(ExitCode.SUCCESS, auburnctl("evacuation", "end", "a", "--server", server.address).code)
        val sent = server.requests.map { "${it.method()} ${it.path()}" }
        assertEquals(listOf("POST /evacuations/a", "DELETE /evacuations/a"), sent)
    }

    /** Guards against scripts that take an order without effect, or one that may have had one, for another result. */
    @Test
    fun `the exit code tells whether the order may have taken effect`() {
        val error = """{"error":"the reason"}"""
        assertEquals(ExitCode.REFUSED, code(jsonAnswer(error, HttpStatus.NOT_FOUND), "order", "b"))
        assertEquals(ExitCode.REFUSED, code(jsonAnswer(error, HttpStatus.SERVICE_UNAVAILABLE), "order", "a"))
        assertEquals(ExitCode.UNKNOWN, code(jsonAnswer(error, HttpStatus.GATEWAY_TIMEOUT), "end", "a"))
    }

    /** Guards against an evacuation that the list leaves out. */
    @Test
    fun `list shows each evacuated failure domain`() {
        val answer = jsonAnswer("""{"evacuations":[{"zone":"a","sinceMs":0}]}""")
        val result = StubServer { answer }.use { auburnctl("evacuation", "list", "--server", it.address) }
        val expected = "FAILURE DOMAIN  SINCE\na               1970-01-01T00:00:00Z\n"
        assertEquals(RunResult(ExitCode.SUCCESS, expected, ""), result)
    }
}
