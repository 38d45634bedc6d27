package org.auburnlever.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.wire.StatusView

/** Serves `GET /v1/status`: returns this host's view of the system. */
class StatusService(
    private val access: OperatorAccess,
    private val sources: StatusSources,
    private val ledgers: LedgerReader,
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        access.refusal(ctx) ?: ctx.respond {
            val readings = ledgers.read(sources.failureDomains(), LedgerQuery.Summary)
            jsonResponse(StatusView.serializer(), sources.status(readings))
        }
}
