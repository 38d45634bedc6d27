package org.auburnlever.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future

/** Responds with the result of [block], which runs on the request's event loop and may suspend. */
internal fun ServiceRequestContext.respond(block: suspend () -> HttpResponse): HttpResponse =
    HttpResponse.of(CoroutineScope(eventLoop().asCoroutineDispatcher()).future { block() })

/** Reads the whole body as UTF-8 and responds with the result of [block]. */
internal fun ServiceRequestContext.respondToBody(
    request: HttpRequest,
    block: suspend (body: String) -> HttpResponse,
): HttpResponse = respond {
    val body = request.aggregate().await().contentUtf8()
    if (requestInProgress?.handOn() == false) notHandedOn() else block(body)
}
