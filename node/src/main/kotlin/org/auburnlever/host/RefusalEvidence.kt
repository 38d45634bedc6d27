package org.auburnlever.host

/**
 * Why a call is known to have had no effect and never to get one.
 *
 * Only a sign that excludes an effect is one. Others don't count, as the call may have been handled all the same: a
 * reply that does not come, a link that closes after the request was written, a replica that gave up waiting, a
 * snapshot that replaced the log entry.
 */
enum class RefusalEvidence {
    /** No replica was reachable, so nothing was handed on. */
    NOT_HANDED_ON,

    /** The request was not written to a link: there was none, or the request was withdrawn before its turn. */
    NOT_SENT,

    /** The replica did not lead and appended nothing, or another entry was committed at the index of the command. */
    NOT_LED,

    /** The replica refused the command before it was appended. */
    NOT_APPENDED,

    /** The command was committed, and had no effect when it was applied. */
    REFUSED_BY_LOG,
}

/** Returns why the attempt with this result has no effect; null if it has one or can have one. */
internal val Submission<*>.evidence: RefusalEvidence?
    get() = when (this) {
        is Submission.NotLeader -> RefusalEvidence.NOT_LED
        is Submission.Refused -> RefusalEvidence.NOT_APPENDED
        is Submission.Applied, is Submission.Undecided -> null
    }
