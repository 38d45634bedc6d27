package org.auburnlever.entry

import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.SignOffBody

/** Serves `POST /v1/configuration/sign-offs`: submits the signature of an operator, sent as [SignOffBody]. */
class SignOffService(private val changes: ConfigurationChanges) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        ctx.respondToBody(req) { text ->
            Codec.json.decode(SignOffBody.serializer(), text).fold(
                { changes.signOff(ConfigurationCommand.SignOff(it.digestHex, it.operator, it.signatureHex)) },
                { refusal(ErrorCode.BAD_REQUEST, it) },
            )
        }
}
