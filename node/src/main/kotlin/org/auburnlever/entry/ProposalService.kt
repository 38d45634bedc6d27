package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.ProposalBody

/** Serves `POST /v1/configuration/proposals`: submits the proposal of an operator, sent as [ProposalBody]. */
class ProposalService(private val changes: ConfigurationChanges) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        ctx.respondToBody(req) { text ->
            Codec.json.decode(ProposalBody.serializer(), text)
                .flatMap { it.toCommand() }
                .fold({ changes.propose(it) }, { refusal(ErrorCode.BAD_REQUEST, it) })
        }
}

private fun ProposalBody.toCommand(): Result<ConfigurationCommand.Propose, String> =
    readBundle().map { ConfigurationCommand.Propose(it, operator, signatureHex) }

private fun ProposalBody.readBundle(): Result<Bundle, String> {
    val parsed = bundle
    val text = bundleText
    return when {
        parsed != null && text == null -> Ok(parsed)

        parsed == null && text != null ->
            Codec.commentedJson.decode(Bundle.serializer(), text).mapError { "bundleText: $it" }

        else -> Err("exactly one of the fields bundle and bundleText is required")
    }
}
