package org.auburnlever.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

class ServiceRequestServiceTest {
    private val runs = AtomicInteger()
    private val endpoint = Server.builder().http(0).service(Paths.ENDPOINT_REQUESTS) { ctx, request ->
        HttpResponse.of(
            request.aggregate().thenApply {
                runs.incrementAndGet()
                val headers = ResponseHeaders.builder(HttpStatus.OK)
                    .contentType(MediaType.PLAIN_TEXT_UTF_8)
                    .add(Headers.REQUEST_ID, ctx.request().headers().get(Headers.REQUEST_ID).orEmpty())
                    .build()
                HttpResponse.of(headers, HttpData.ofUtf8("tagged ${it.contentUtf8()}"))
            },
        )
    }.build().apply { start().join() }

    @Test
    fun `a repeatable request is answered by an announced endpoint`() {
        TestDeployment(FakeLedger()).use { host ->
            assertEquals(HttpStatus.OK, host.announce(announcement(endpoint.activeLocalPort())).status())
            val answer = host.request("whale")
            assertEquals("tagged whale", answer.contentUtf8())
            assertEquals("completed", answer.outcome)
        }
    }

    @Test
    fun `a resend gets the first outcome and is not run again`() {
        TestDeployment(FakeLedger()).use { host ->
            host.announce(announcement(endpoint.activeLocalPort()))
            val answers = List(3) { host.keyed("1764820800-a", "whale") }
            assertEquals(setOf("tagged whale"), answers.map { it.contentUtf8() }.toSet())
            assertEquals(1, runs.get())
        }
    }
}
