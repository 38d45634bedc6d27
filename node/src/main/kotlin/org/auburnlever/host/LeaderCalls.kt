package org.auburnlever.host

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.CallError
import org.auburnlever.transport.PeerClient
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.world.HostName

/** A question for the leader of a group: [local] asks this host's replica, [remote] is sent to another host. */
internal class LeaderQuestion<T>(
    val group: GroupName,
    val local: (suspend () -> Submission<T>)?,
    val remote: PeerRequest,
    val decode: (PeerReply) -> Submission<T>,
)

/**
 * Finds the leader of a group and repeats a question until it is answered or its time is over.
 *
 * All commands are idempotent, so one that may have taken effect can be sent again. The error says `NotSubmitted` only
 * if no attempt can have had an effect.
 */
internal class LeaderCalls(
    private val directory: PeerDirectory,
    private val peers: PeerClient,
    private val knownLeader: (GroupName) -> HostName?,
    private val replicas: (GroupName) -> List<HostName>,
    private val clock: HostClock,
) {
    /**
     * Asks until there is an answer or [timeoutMillis] are over; a question that no leader was found for ends after
     * [unsentLimitMillis].
     */
    suspend fun <T> ask(
        question: LeaderQuestion<T>,
        timeoutMillis: Long,
        unsentLimitMillis: Long = timeoutMillis,
    ): Result<T, SubmitError> {
        val startMillis = clock.nowMillis()
        val search = LeaderSearch(startMillis + timeoutMillis, startMillis + minOf(timeoutMillis, unsentLimitMillis))
        var result: Result<T, SubmitError>? = null
        while (result == null && search.open(clock.nowMillis())) {
            result = attempt(question, search)
            if (result == null) delay(RETRY_MILLIS)
        }
        return result ?: Err(search.error(question.group))
    }

    private suspend fun <T> attempt(question: LeaderQuestion<T>, search: LeaderSearch): Result<T, SubmitError>? {
        val target = target(question, search)
        val answer = if (target == null) Submission.NotLeader(null) else ask(question, target, search)
        search.failed(target, answer, clock.nowMillis())
        return when (answer) {
            is Submission.Applied -> Ok(answer.reply)
            is Submission.Refused -> Err(SubmitError.NotSubmitted(answer.message))
            is Submission.NotLeader, is Submission.Undecided -> null
        }
    }

    private suspend fun <T> ask(
        question: LeaderQuestion<T>,
        target: HostName,
        search: LeaderSearch,
    ): Submission<T> {
        val limitMillis = minOf(search.remainingMillis(clock.nowMillis()), ATTEMPT_MILLIS)
        val local = question.local
        if (target == directory.self.host && local != null) {
            return withTimeoutOrNull(limitMillis) { local() }
                ?: Submission.Undecided("no decision within $limitMillis ms")
        }
        return peers.call(target, question.remote, limitMillis).fold(
            { question.decode(it) },
            { if (it is CallError.NotSent) Submission.NotLeader(null) else Submission.Undecided(it.message) },
        )
    }

    /** The host that was named as leader last, else the replicas in turn. */
    private fun target(question: LeaderQuestion<*>, search: LeaderSearch): HostName? {
        val usable = directory.reachable() + listOfNotNull(directory.self.host.takeIf { question.local != null })
        val candidates = replicas(question.group).filter { it in usable }
        val named = listOfNotNull(search.hint, knownLeader(question.group))
        return named.firstOrNull { it in usable && it !in search.failedHosts } ?: search.next(candidates)
    }

    private companion object {
        /** Shorter than an election, so that a new leader is found soon after it was elected. */
        const val RETRY_MILLIS = 50L

        /** After this time another replica is asked, since the first may be isolated and not know it yet. */
        const val ATTEMPT_MILLIS = 1_500L
    }
}
