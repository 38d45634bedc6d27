package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpStatus

/** Result of sending a request to the servers in turn. */
sealed interface ServerAnswer {
    /**
     * A server answered. [earlierAttemptLost] is true if a server that was tried before may have taken the request
     * without answering.
     */
    class Answered(
        val server: String,
        val status: HttpStatus,
        val outcome: String?,
        val body: ByteArray,
        val earlierAttemptLost: Boolean,
    ) : ServerAnswer {
        /** The body as UTF-8. */
        val text: String get() = body.decodeToString()

        /** Whether the status reports success. */
        val isSuccess: Boolean get() = status.isSuccess

        /**
         * Whether another server may take the request: this one is starting, is shutting down or can't reach a leader.
         */
        val isUnavailable: Boolean get() = status == HttpStatus.SERVICE_UNAVAILABLE && outcome == "refused"
    }

    /** No server answered; [maybeSent] is false only if none can have received the request. */
    data class None(val message: String, val maybeSent: Boolean) : ServerAnswer
}
