package org.auburnlever.observe

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.codec.Codec
import org.auburnlever.wire.HealthView

/** Whether this host accepts requests. */
sealed interface Readiness {
    /** The host accepts requests. */
    data object Ready : Readiness

    /** The host can't accept requests yet, because of [reason]. */
    data class Starting(val reason: String) : Readiness

    /** The host completes its requests and accepts no new ones. */
    data object ShuttingDown : Readiness
}

/** Health check for the load balancer: status 200 if the host is ready, else 503; bind it to `Paths.HEALTH`. */
class HealthService(private val readiness: () -> Readiness) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        when (val now = readiness()) {
            Readiness.Ready -> answer(HttpStatus.OK, HealthView("ready"))
            is Readiness.Starting -> answer(HttpStatus.SERVICE_UNAVAILABLE, HealthView("starting", now.reason))
            Readiness.ShuttingDown -> answer(HttpStatus.SERVICE_UNAVAILABLE, HealthView("shutting_down"))
        }

    private fun answer(status: HttpStatus, view: HealthView): HttpResponse =
        HttpResponse.of(status, MediaType.JSON, Codec.json.encodeToString(HealthView.serializer(), view))
}
