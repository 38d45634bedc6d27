package org.auburnlever.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.model.DomainName
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.wire.DomainExplanation
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.ExplainView

/** Serves GET at [PATTERN]: returns the recorded decisions about a job, account or worker. */
class ExplainService(
    private val access: OperatorAccess,
    private val ledgers: LedgerReader,
    private val domains: () -> List<DomainName>,
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val kind = ctx.pathParam("kind").orEmpty()
        return access.refusal(ctx)
            ?: kind.takeIf { it !in KINDS }?.let { unknownKind(it) }
            ?: ctx.respond { explain(kind, ctx.pathParam("name").orEmpty()) }
    }

    private fun unknownKind(kind: String): HttpResponse =
        refusal(ErrorCode.BAD_REQUEST, "kind \"$kind\" is not one of ${KINDS.joinToString()}")

    private suspend fun explain(kind: String, name: String): HttpResponse {
        val readings = ledgers.read(domains(), LedgerQuery.Explain(kind, name))
        val view = ExplainView(kind, name, readings.map { DomainExplanation(it.failureDomain, it.document, it.error) })
        return jsonResponse(ExplainView.serializer(), view)
    }

    /** Holds the route of the service. */
    companion object {
        /** Path pattern with the parameters that the service reads. */
        const val PATTERN: String = "/v1/explain/{kind}/{name}"

        private val KINDS = setOf("job", "account", "worker")
    }
}
