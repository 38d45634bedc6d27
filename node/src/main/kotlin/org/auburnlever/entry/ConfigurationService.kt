package org.auburnlever.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.digestHex
import org.auburnlever.wire.ConfigurationView
import org.auburnlever.wire.ErrorCode

/** Serves `GET /v1/configuration`: returns the bundle in force on this host. */
class ConfigurationService(
    private val access: OperatorAccess,
    private val inForce: () -> Bundle?,
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        access.refusal(ctx) ?: inForce()?.let { view(it) }
            ?: refusal(ErrorCode.NO_CONFIGURATION, "this host has no bundle yet")

    private fun view(bundle: Bundle): HttpResponse =
        jsonResponse(ConfigurationView.serializer(), ConfigurationView(bundle.version, bundle.digestHex(), bundle))
}
