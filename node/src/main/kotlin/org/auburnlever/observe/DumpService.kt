package org.auburnlever.observe

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.JsonObject
import org.auburnlever.entry.OperatorAccess
import java.util.concurrent.CompletableFuture

/**
 * Serves the state of all [parts] of the process by name, to callers that [access] permits; bind it to `Paths.DUMP`.
 *
 * The state is collected on the blocking executor, because a large one would block an event loop.
 */
class DumpService(private val access: OperatorAccess, private val parts: Map<String, Dumpable>) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        access.refusal(ctx) ?: HttpResponse.of(CompletableFuture.supplyAsync(::answer, ctx.blockingTaskExecutor()))

    /** Returns the current state of each part by its name. */
    fun collect(): JsonObject = JsonObject(parts.mapValues { it.value.dump() })

    private fun answer(): HttpResponse = HttpResponse.of(HttpStatus.OK, MediaType.JSON, collect().toString())
}
