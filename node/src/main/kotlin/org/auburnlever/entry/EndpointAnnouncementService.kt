package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.model.DomainName
import org.auburnlever.wire.AnnouncementReply
import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.wire.ErrorCode

/** Serves `POST /v1/endpoints/announce`: receives announcements from endpoints of this host's failure domain. */
class EndpointAnnouncementService(
    private val routing: DomainRouting,
    private val metrics: RoutingMetrics,
    private val failureDomain: DomainName,
    private val inForce: () -> Bundle?,
) : HttpService {
    private val authenticator = Authenticator(inForce)

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        ctx.setMaxRequestLength(MAX_ANNOUNCEMENT_BYTES)
        return HttpResponse.of(req.aggregate().thenApply(::respond))
    }

    private fun respond(request: AggregatedHttpRequest): HttpResponse {
        val bundle = inForce() ?: return refusal(ErrorCode.NO_CONFIGURATION, "no bundle is in force yet")
        return when {
            authenticator.hasPlatformToken(request.headers()) -> accept(request.contentUtf8(), bundle)
            else -> refusal(ErrorCode.UNAUTHORIZED, "a bearer token of the platform is required")
        }
    }

    private fun accept(body: String, bundle: Bundle): HttpResponse {
        val parsed = parse(body)
        val checked = parsed.fold(
            success = { it.problem(failureDomain, bundle)?.let { problem -> Err(problem) } ?: Ok(it) },
            failure = { Err(it) },
        )
        metrics.announcement(accepted = checked.isOk)
        return checked.fold(
            success = {
                routing.receiveAnnouncement(it)
                jsonResponse(AnnouncementReply.serializer(), AnnouncementReply(ANNOUNCE_AGAIN_MILLIS))
            },
            failure = { refusal(ErrorCode.BAD_REQUEST, it) },
        )
    }

    private fun parse(body: String): Result<EndpointAnnouncement, String> =
        try {
            Ok(Codec.json.decodeFromString(EndpointAnnouncement.serializer(), body))
        } catch (failure: SerializationException) {
            Err("invalid endpoint announcement: ${failure.message}")
        }

    private companion object {
        const val MAX_ANNOUNCEMENT_BYTES = 4_096L

        /** Up to two announcements in a row may be lost before an endpoint expires. */
        const val ANNOUNCE_AGAIN_MILLIS = 1_000L
    }
}

/** Returns why an entry host of [domain] must reject this announcement, or null if it is valid. */
internal fun EndpointAnnouncement.problem(domain: DomainName, bundle: Bundle): String? =
    when {
        !NAME.matches(endpoint.value) -> "endpoint must have 1 to 64 letters, digits, dots, dashes or underscores"
        failureDomain != domain -> "failureDomain is $failureDomain, but this entry host belongs to $domain"
        bundle.services.none { it.name == service } -> "service $service is not in the bundle"
        !isAddress(address) -> "address must be IP:port"
        slots !in 1..MAX_SLOTS -> "slots must be from 1 to $MAX_SLOTS"
        connections !in slots..MAX_CONNECTIONS -> "connections must be from slots to $MAX_CONNECTIONS"
        epochMillis < 0 -> "epochMillis must not be negative"
        sequence < 0 -> "sequence must not be negative"
        (uptimeMillis ?: 0) < 0 -> "uptimeMillis must not be negative"
        else -> null
    }

/** Accepts IP addresses but no host names, so that no request waits for a name lookup. */
private fun isAddress(address: String): Boolean {
    val host = address.substringBeforeLast(':', missingDelimiterValue = "")
    val port = address.substringAfterLast(':').toIntOrNull() ?: 0
    return port in 1..MAX_PORT && (isIpv4(host) || IPV6.matches(host))
}

private fun isIpv4(host: String): Boolean {
    val parts = host.split('.')
    return parts.size == IPV4_PARTS && parts.all { DECIMAL.matches(it) && it.toInt() <= MAX_OCTET }
}

private val NAME = Regex("[A-Za-z0-9._-]{1,64}")
private val IPV6 = Regex("\\[[0-9a-fA-F:.]{2,45}]")
private val DECIMAL = Regex("0|[1-9][0-9]{0,2}")
private const val IPV4_PARTS = 4
private const val MAX_OCTET = 255
private const val MAX_PORT = 65_535
private const val MAX_SLOTS = 1_024
private const val MAX_CONNECTIONS = 16_384
