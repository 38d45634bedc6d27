package org.auburnlever.host

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.PeerClient
import org.auburnlever.transport.PeerDirectory

/**
 * A request for the leader of [group].
 *
 * @property local asks this host's replica
 * @property remote the request to send to another host
 * @property isRefusal whether a reply says that the attempt has no effect; never true for a read, which has none
 * @property onAttempt receives each attempt when it has ended
 */
internal class LeaderRequest<T>(
    val group: GroupName,
    val local: (suspend () -> Submission<T>)?,
    val remote: PeerRequest,
    val isRefusal: (T) -> Boolean,
    val onAttempt: (LeaderAttempt) -> Unit = {},
    val decode: (PeerReply) -> Submission<T>,
)

/**
 * Finds the leader of a group and repeats a request until it is answered or times out.
 *
 * All commands are idempotent, so a command that may have taken effect can be sent again. The error is
 * [SubmitError.NotSubmitted] only if no attempt can have had an effect.
 */
internal class LeaderClient(
    private val directory: PeerDirectory,
    private val peers: PeerClient,
    private val knownLeader: (GroupName) -> HostName?,
    private val replicas: (GroupName) -> List<HostName>,
    private val clock: HostClock,
) {
    /**
     * Repeats [request] until it is answered or [timeoutMillis] have passed. It ends after [noLeaderTimeoutMillis]
     * already if no attempt can have had an effect.
     */
    suspend fun <T> ask(
        request: LeaderRequest<T>,
        timeoutMillis: Long,
        noLeaderTimeoutMillis: Long = timeoutMillis,
    ): Result<T, SubmitError> {
        val startMillis = clock.nowMillis()
        val noLeaderDeadlineMillis = startMillis + minOf(timeoutMillis, noLeaderTimeoutMillis)
        val search = LeaderSearch(request.group, startMillis + timeoutMillis, noLeaderDeadlineMillis)
        var result: Result<T, SubmitError>? = null
        while (result == null && search.canRetry(clock.nowMillis())) {
            result = attempt(request, search, startMillis)
            if (result == null) delay(RETRY_INTERVAL_MILLIS)
        }
        return result ?: search.unanswered()
    }

    private suspend fun <T> attempt(
        request: LeaderRequest<T>,
        search: LeaderSearch,
        callStartMillis: Long,
    ): Result<T, SubmitError>? {
        val attemptMillis = clock.nowMillis()
        val target = target(request, search)
        val outcome = if (target == null) UNREACHABLE else ask(request, target, search).withRefusal(request.isRefusal)
        val answer = outcome.answer
        val nowMillis = clock.nowMillis()
        search.recordAttempt(target, outcome, nowMillis)
        val startMillis = attemptMillis - callStartMillis
        request.onAttempt(LeaderAttempt(target, startMillis, nowMillis - attemptMillis, outcome.summary))
        return when (answer) {
            is Submission.Applied ->
                if (outcome.evidence == null) Ok(answer.reply) else search.evidence.refused(answer.reply)
            is Submission.Refused -> search.evidence.notSubmitted(answer.message)
            is Submission.Undecided -> if (answer.conclusive) search.unanswered() else null
            is Submission.NotLeader -> null
        }
    }

    private suspend fun <T> ask(
        request: LeaderRequest<T>,
        target: HostName,
        search: LeaderSearch,
    ): AttemptOutcome<T> {
        val attemptTimeoutMillis = minOf(search.remainingMillis(clock.nowMillis()), ATTEMPT_TIMEOUT_MILLIS)
        val local = request.local
        if (target == directory.self.host && local != null) {
            val answer = withTimeoutOrNull(attemptTimeoutMillis) { local() }
                ?: Submission.Undecided("no decision within $attemptTimeoutMillis ms")
            return AttemptOutcome(answer)
        }
        return peers.call(target, request.remote, attemptTimeoutMillis).toOutcome(request.decode)
    }

    /** Returns the host named as leader if it is reachable and has not failed; else the next replica in turn. */
    private fun target(request: LeaderRequest<*>, search: LeaderSearch): HostName? {
        val reachable = directory.reachable() + listOfNotNull(directory.self.host.takeIf { request.local != null })
        val candidates = replicas(request.group).filter { it in reachable }
        val namedLeaders = listOfNotNull(search.hint, knownLeader(request.group))
        return namedLeaders.firstOrNull { it in reachable && it !in search.failedHosts } ?: search.next(candidates)
    }

    private companion object {
        val UNREACHABLE = AttemptOutcome(
            Submission.NotLeader(null),
            "no replica is reachable",
            RefusalEvidence.NOT_HANDED_ON,
        )

        /** Shorter than an election, so that a new leader is found soon after its election. */
        const val RETRY_INTERVAL_MILLIS = 50L

        /** Another replica is asked after this time, as the first may be isolated without having noticed yet. */
        const val ATTEMPT_TIMEOUT_MILLIS = 1_500L
    }
}
