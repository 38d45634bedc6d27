package org.auburnlever.host

import com.github.michaelbull.result.Result
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName

/**
 * Tracks the attempts of one request and selects the replicas to ask.
 *
 * The request is given up at [noLeaderDeadlineMillis] if no attempt can have had an effect, so that the caller learns
 * early that it can safely retry.
 */
internal class LeaderSearch(
    private val group: GroupName,
    private val deadlineMillis: Long,
    private val noLeaderDeadlineMillis: Long = deadlineMillis,
) {
    private var nextIndex = 0
    private var unreachableSinceMillis: Long? = null

    /** The host that the last replica asked named as leader; null if it named none. */
    var hint: HostName? = null
        private set

    /** Hosts that have not answered as leader in this round through the replicas. */
    var failedHosts: Set<HostName> = emptySet()
        private set

    /** What the attempts show about the effect of the request. */
    var evidence = CallEvidence(group)
        private set

    /** Returns whether another attempt may be made. */
    fun canRetry(nowMillis: Long): Boolean {
        val since = unreachableSinceMillis
        val limitMillis = if (evidence.hasLostReply) deadlineMillis else noLeaderDeadlineMillis
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

    /** Records the [outcome] of an attempt at [target]; null means that no replica could be reached. */
    fun recordAttempt(target: HostName?, outcome: AttemptOutcome<*>, nowMillis: Long) {
        evidence = evidence.with(outcome)
        hint = (outcome.answer as? Submission.NotLeader)?.leader
        failedHosts = (failedHosts + setOfNotNull(target)) - setOfNotNull(hint)
        unreachableSinceMillis = if (target == null) unreachableSinceMillis ?: nowMillis else null
    }

    /** Returns what is reported of a request that ends without an answer. */
    fun unanswered(): Result<Nothing, SubmitError> = evidence.notSubmitted("no leader of $group could be reached")

    private companion object {
        /** An election takes at most 2 s; after that, a group that can be reached has a leader. */
        const val UNREACHABLE_TIMEOUT_MILLIS = 2_500L
    }
}
