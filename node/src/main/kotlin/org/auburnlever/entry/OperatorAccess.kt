package org.auburnlever.entry

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.ServiceRequestContext
import org.auburnlever.configuration.Bundle
import org.auburnlever.wire.ErrorCode

/**
 * Restricts reading the state of the system to callers with a platform token.
 *
 * Before the first bundle there are no tokens. Until then callers on the host itself may read, so that a start that
 * does not progress can be examined.
 */
class OperatorAccess(private val authenticator: Authenticator, private val inForce: () -> Bundle?) {
    /** Returns the error response for a caller who may not read, or null for one who may. */
    fun refusal(ctx: ServiceRequestContext): HttpResponse? =
        when {
            inForce() == null -> if (ctx.remoteAddress().address.isLoopbackAddress) null else noTokens()
            authenticator.hasPlatformToken(ctx.request().headers()) -> null
            else -> refusal(ErrorCode.UNAUTHORIZED, "a bearer token of the platform is required")
        }

    private fun noTokens(): HttpResponse =
        refusal(ErrorCode.NO_CONFIGURATION, "this host has no bundle yet; only callers on the host itself may read")
}
