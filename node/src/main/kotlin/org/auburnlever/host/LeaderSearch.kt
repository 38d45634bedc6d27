package org.auburnlever.host

import org.auburnlever.peer.GroupName
import org.auburnlever.world.HostName

/**
 * The attempts of one question so far. It is given up at [unsentDeadlineMillis] if no attempt can have had an effect,
 * so that the caller hears in time that it may come back.
 */
internal class LeaderSearch(
    private val deadlineMillis: Long,
    private val unsentDeadlineMillis: Long = deadlineMillis,
) {
    private var undecided: String? = null
    private var turn = 0
    private var unreachableSinceMillis: Long? = null

    /** Who was named as leader by the last replica asked. */
    var hint: HostName? = null
        private set

    /** Hosts that did not answer as leader since the last round. */
    var failedHosts: Set<HostName> = emptySet()
        private set

    /** Says whether another attempt makes sense. */
    fun open(nowMillis: Long): Boolean {
        val since = unreachableSinceMillis
        val limitMillis = if (undecided == null) unsentDeadlineMillis else deadlineMillis
        return nowMillis < limitMillis && (since == null || nowMillis - since < UNREACHABLE_LIMIT_MILLIS)
    }

    fun remainingMillis(nowMillis: Long): Long = (deadlineMillis - nowMillis).coerceAtLeast(1)

    /** The next of [candidates] in turn. */
    fun next(candidates: List<HostName>): HostName? {
        if (candidates.isEmpty()) return null
        if (turn >= candidates.size) {
            turn = 0
            failedHosts = emptySet()
        }
        return candidates[turn++ % candidates.size]
    }

    /** Notes that [target] did not answer as leader; null means that no replica could be reached. */
    fun failed(target: HostName?, answer: Submission<*>, nowMillis: Long) {
        if (answer is Submission.Undecided) undecided = answer.message
        hint = (answer as? Submission.NotLeader)?.leader
        failedHosts = (failedHosts + setOfNotNull(target)) - setOfNotNull(hint)
        unreachableSinceMillis = if (target == null) unreachableSinceMillis ?: nowMillis else null
    }

    fun error(group: GroupName): SubmitError {
        val lost = undecided
        return if (lost == null) {
            SubmitError.NotSubmitted("no leader of $group could be reached")
        } else {
            SubmitError.Undecided("$group: $lost")
        }
    }

    private companion object {
        /** An election takes at most 2 s, after which a reachable group has a leader. */
        const val UNREACHABLE_LIMIT_MILLIS = 2_500L
    }
}
