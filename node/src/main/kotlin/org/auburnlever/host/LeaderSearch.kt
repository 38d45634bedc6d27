package org.auburnlever.host

import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName

/**
 * Tracks the attempts of one request and selects the replicas to ask.
 *
 * The request is given up at [noLeaderDeadlineMillis] if no attempt can have had an effect, so that the caller learns
 * early that it can safely retry.
 */
internal class LeaderSearch(
    private val deadlineMillis: Long,
    private val noLeaderDeadlineMillis: Long = deadlineMillis,
) {
    private var undecidedMessage: String? = null
    private var evidence = RefusalEvidence.NOT_HANDED_ON
    private var nextIndex = 0
    private var unreachableSinceMillis: Long? = null

    /** The host that the last replica asked named as leader; null if it named none. */
    var hint: HostName? = null
        private set

    /** Hosts that have not answered as leader in this round through the replicas. */
    var failedHosts: Set<HostName> = emptySet()
        private set

    /** Whether an attempt may have taken effect, or may still do so. */
    val mayHaveTakenEffect: Boolean get() = undecidedMessage != null

    /** Returns whether another attempt may be made. */
    fun canRetry(nowMillis: Long): Boolean {
        val since = unreachableSinceMillis
        val limitMillis = if (undecidedMessage == null) noLeaderDeadlineMillis else deadlineMillis
        return nowMillis < limitMillis && (since == null || nowMillis - since < UNREACHABLE_TIMEOUT_MILLIS)
    }

    fun remainingMillis(nowMillis: Long): Long = (deadlineMillis - nowMillis).coerceAtLeast(1)

    /** Returns the next of [candidates] in turn; null if there are none. A new round forgets the failed hosts. */
    fun next(candidates: List<HostName>): HostName? {
        if (candidates.isEmpty()) return null
        if (nextIndex >= candidates.size) {
            nextIndex = 0
            failedHosts = emptySet()
        }
        return candidates[nextIndex++ % candidates.size]
    }

    /**
     * Records the [answer] of [target] to an attempt; a null [target] means that no replica could be reached.
     *
     * [refusalEvidence] tells why the attempt has no effect; null if it has one or can have one.
     */
    fun recordAttempt(
        target: HostName?,
        answer: Submission<*>,
        refusalEvidence: RefusalEvidence?,
        nowMillis: Long,
    ) {
        if (refusalEvidence != null) evidence = refusalEvidence
        if (answer is Submission.Undecided) undecidedMessage = answer.message
        hint = (answer as? Submission.NotLeader)?.leader
        failedHosts = (failedHosts + setOfNotNull(target)) - setOfNotNull(hint)
        unreachableSinceMillis = if (target == null) unreachableSinceMillis ?: nowMillis else null
    }

    /** Returns the error of a request whose last attempt was refused with [message]. */
    fun refusal(group: GroupName, message: String): SubmitError =
        if (mayHaveTakenEffect) error(group) else SubmitError.NotSubmitted(message, evidence)

    fun error(group: GroupName): SubmitError {
        val message = undecidedMessage
        return if (message == null) {
            SubmitError.NotSubmitted("no leader of $group could be reached", evidence)
        } else {
            SubmitError.Undecided("$group: $message")
        }
    }

    private companion object {
        /** An election takes at most 2 s; after that, a group that can be reached has a leader. */
        const val UNREACHABLE_TIMEOUT_MILLIS = 2_500L
    }
}
