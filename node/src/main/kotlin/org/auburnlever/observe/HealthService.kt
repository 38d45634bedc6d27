package org.auburnlever.observe

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.codec.Codec
import org.auburnlever.wire.HealthView

/** Whether this host takes requests. */
sealed interface Readiness {
    /** The host takes requests. */
    data object Ready : Readiness

    /** The host can't take requests yet. */
    data class Starting(val reason: String) : Readiness

    /** The host finishes its requests and takes no new ones. */
    data object ShuttingDown : Readiness
}

/** Tells the load balancer whether to send requests here: 200 when ready, else 503; mount it at `Paths.HEALTH`. */
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
