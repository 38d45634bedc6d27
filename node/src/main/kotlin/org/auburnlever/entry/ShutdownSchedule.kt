package org.auburnlever.entry

/** The phases in which a server shuts down, in order. */
enum class ShutdownPhase {
    /** Requests are served, and their responses close the connection, so that callers go to another host. */
    LEAVING,

    /** Further requests are refused; those that were passed on continue. */
    REFUSING,

    /** Requests that are still in progress are answered without a result. */
    ENDING,

    /** The server can close: no response is outstanding, or the time is over. */
    CLOSING,
}

/**
 * When a server that shuts down goes from one phase to the next; times are in milliseconds of the caller's clock.
 *
 * It answers the load of a rolling restart: callers keep connections open and send one request after the other, and a
 * load balancer sends new connections until it has noticed. Callers learn with their next response that they should go
 * elsewhere, and a request is only refused while nothing of it has been passed on.
 *
 * @property refuseAtMillis until then, requests are served
 * @property endAtMillis until then, requests in progress may end by themselves
 * @property closeAtMillis until then, responses may be written
 */
class ShutdownSchedule(
    private val refuseAtMillis: Long,
    private val endAtMillis: Long,
    private val closeAtMillis: Long,
) {
    /** Returns the phase after [phase] at [nowMillis], with [inProgress] requests in progress. */
    fun next(phase: ShutdownPhase, nowMillis: Long, inProgress: Int): ShutdownPhase = when (phase) {
        ShutdownPhase.LEAVING -> if (nowMillis >= refuseAtMillis) ShutdownPhase.REFUSING else phase
        ShutdownPhase.REFUSING -> when {
            inProgress == 0 -> ShutdownPhase.CLOSING
            nowMillis >= endAtMillis -> ShutdownPhase.ENDING
            else -> phase
        }
        ShutdownPhase.ENDING ->
            if (inProgress == 0 || nowMillis >= closeAtMillis) ShutdownPhase.CLOSING else phase
        ShutdownPhase.CLOSING -> phase
    }
}
