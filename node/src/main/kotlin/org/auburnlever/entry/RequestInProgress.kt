package org.auburnlever.entry

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.ServiceRequestContext
import io.netty.util.AttributeKey
import java.util.concurrent.atomic.AtomicReference

/** How far a host has got with a request. */
enum class RequestProgress {
    /** Nothing has been passed on, so the request can't have had an effect yet. */
    RECEIVED,

    /** It has been passed on, so it may have had an effect, or may still have one. */
    HANDED_ON,

    /** It was ended before it was passed on, and will not be passed on. */
    ENDED,
}

/**
 * A request that a server has received and whose response has not been written; thread-safe.
 *
 * @property number numbers the requests of a server in the order of their arrival
 */
class RequestInProgress(internal val number: Long = 0, private val mayBeHandedOn: () -> Boolean = { true }) {
    private val current = AtomicReference(RequestProgress.RECEIVED)

    val progress: RequestProgress get() = current.get()

    /** Whether there is a response, which may not have been written yet. */
    @Volatile
    internal var isAnswered: Boolean = false

    /** Whether the server has ended the request in place of its service, or the caller has gone. */
    @Volatile
    var isEndedEarly: Boolean = false
        private set

    /**
     * Records that the service is about to pass the request on. Returns false if it must not, as the request has been
     * ended or the host refuses new requests.
     */
    fun handOn(): Boolean {
        if (mayBeHandedOn()) current.compareAndSet(RequestProgress.RECEIVED, RequestProgress.HANDED_ON)
        return current.get() == RequestProgress.HANDED_ON
    }

    /** Ends the request in place of its service; one that has not been passed on will not be. Returns its progress. */
    fun endEarly(): RequestProgress {
        isEndedEarly = true
        current.compareAndSet(RequestProgress.RECEIVED, RequestProgress.ENDED)
        return current.get()
    }
}

/** The tracked request of this context; null if the server does not track it. */
var ServiceRequestContext.requestInProgress: RequestInProgress?
    get() = attr(REQUEST_IN_PROGRESS)
    internal set(request) {
        setAttr(REQUEST_IN_PROGRESS, request)
    }

/** Returns the response to a request that must not be passed on, as the host closes or has ended it. */
internal fun ServiceRequestContext.notHandedOn(): HttpResponse =
    earlyEndResponse(request().headers(), EarlyEnd(EarlyEndCause.SHUTDOWN, isHandedOn = false, "the host is closing"))

private val REQUEST_IN_PROGRESS: AttributeKey<RequestInProgress> =
    AttributeKey.valueOf(RequestInProgress::class.java, "request")
