package org.auburnlever.host

import org.auburnlever.peer.GroupName
import org.auburnlever.world.HostName

/**
 * The attempts of one question so far. It is given up at [noLeaderDeadlineMillis] if no attempt can have had an effect,
 * so that the caller hears in time that it may come back.
 */
internal class LeaderSearch(
    private val deadlineMillis: Long,
    private val noLeaderDeadlineMillis: Long = deadlineMillis,
) {
    private var undecidedMessage: String? = null
    private var nextIndex = 0
    private var unreachableSinceMillis: Long? = null

    /** Who was named as leader by the last replica asked. */
    var hint: HostName? = null
        private set

    /** Hosts that did not answer as leader since the last round. */
    var failedHosts: Set<HostName> = emptySet()
        private set

    /** Says whether another attempt makes sense. */
    fun canRetry(nowMillis: Long): Boolean {
        val since = unreachableSinceMillis
        val limitMillis = if (undecidedMessage == null) noLeaderDeadlineMillis else deadlineMillis
        return nowMillis < limitMillis && (since == null || nowMillis - since < UNREACHABLE_TIMEOUT_MILLIS)
    }

    fun remainingMillis(nowMillis: Long): Long = (deadlineMillis - nowMillis).coerceAtLeast(1)

    /** The next of [candidates] in turn. */
    fun next(candidates: List<HostName>): HostName? {
        if (candidates.isEmpty()) return null
        if (nextIndex >= candidates.size) {
            nextIndex = 0
            failedHosts = emptySet()
        }
        return candidates[nextIndex++ % candidates.size]
    }

    /** Notes that [target] did not answer as leader; null means that no replica could be reached. */
    fun recordAttempt(target: HostName?, answer: Submission<*>, nowMillis: Long) {
        if (answer is Submission.Undecided) undecidedMessage = answer.message
        hint = (answer as? Submission.NotLeader)?.leader
        failedHosts = (failedHosts + setOfNotNull(target)) - setOfNotNull(hint)
        unreachableSinceMillis = if (target == null) unreachableSinceMillis ?: nowMillis else null
    }

    fun error(group: GroupName): SubmitError {
        val message = undecidedMessage
        return if (message == null) {
            SubmitError.NotSubmitted("no leader of $group could be reached")
        } else {
            SubmitError.Undecided("$group: $message")
        }
    }

    private companion object {
        /** An election takes at most 2 s, after which a reachable group has a leader. */
        const val UNREACHABLE_TIMEOUT_MILLIS = 2_500L
    }
}
