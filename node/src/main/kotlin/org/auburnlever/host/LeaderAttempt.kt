package org.auburnlever.host

import org.auburnlever.model.HostName

/**
 * Consecutive attempts of one call at the same host with the same answer.
 *
 * @property host the host that was asked; null if none could be reached
 * @property startMillis when the first of them began, counted from the begin of the call
 * @property tookMillis time from then until the last of them ended
 * @property answer what the host answered, or why there is no answer
 */
internal data class LeaderAttempt(
    val host: HostName?,
    val startMillis: Long,
    val tookMillis: Long,
    val answer: String,
    val count: Int = 1,
) {
    override fun toString(): String {
        val times = if (count > 1) " ($count attempts)" else ""
        return "${host ?: "no host"} at $startMillis ms for $tookMillis ms: $answer$times"
    }
}

/** Returns these attempts with [next], which is merged with the last one if that has the same host and answer. */
internal fun List<LeaderAttempt>.with(next: LeaderAttempt): List<LeaderAttempt> {
    val last = lastOrNull()
    if (last == null || last.host != next.host || last.answer != next.answer) return this + next
    val endMillis = next.startMillis + next.tookMillis
    return dropLast(1) + last.copy(tookMillis = endMillis - last.startMillis, count = last.count + 1)
}

/** Returns a short text of this answer without its reply, for a log line. */
internal fun Submission<*>.summary(): String = when (this) {
    is Submission.Applied -> "applied"
    is Submission.NotLeader -> "not the leader" + leader?.let { ", names $it of term $term" }.orEmpty()
    is Submission.Refused -> "refused: $message"
    is Submission.Undecided -> "undecided: $message"
}
