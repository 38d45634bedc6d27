package org.auburnlever.observe

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Serves all meters of [registry] in the Prometheus text format; bind it to `Paths.METRICS`. */
class MetricsService(private val registry: PrometheusMeterRegistry) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(HttpStatus.OK, TEXT_FORMAT, registry.scrape())

    private companion object {
        val TEXT_FORMAT: MediaType = MediaType.parse("text/plain; version=0.0.4; charset=utf-8")
    }
}
