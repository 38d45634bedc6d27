package org.auburnlever.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import org.auburnlever.host.CallEvidence
import org.auburnlever.host.HostClock
import org.auburnlever.host.LeaderAttempt
import org.auburnlever.host.RefusalEvidence
import org.auburnlever.host.Submission
import org.auburnlever.host.SubmitError
import org.auburnlever.host.decode
import org.auburnlever.host.toOutcome
import org.auburnlever.host.withRefusal
import org.auburnlever.model.HostName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.leaderless.LeaderSign
import org.auburnlever.workload.leaderless.WaitingCall
import org.auburnlever.workload.state.Queue

/**
 * Passes calls of an entry host to the leader, and decides which of them wait while there is none.
 *
 * A call that has not been tried waits as long as [WaitingCall] says and is then refused with the time of its return.
 * A call whose outcome is unknown is sent to the next leader until its caller's deadline, since calls are idempotent.
 */
internal class LeaderlessAdmission(
    private val watch: LeaderWatch,
    private val queues: () -> List<Queue>,
    private val clock: HostClock,
    private val registry: MeterRegistry,
) {
    private class Progress(
        val call: FleetCall,
        val waiting: WaitingCall,
        val startMillis: Long,
        val endMillis: Long,
        val onAttempt: (LeaderAttempt) -> Unit,
    ) {
        var evidence = CallEvidence(WORKLOAD_GROUP, hasEffect = !call.isRead)
    }

    /**
     * Sends [call] to the leader until it is answered, is refused, or [timeoutMillis] have passed.
     *
     * [onAttempt] receives each attempt when it has ended.
     */
    suspend fun ask(
        call: FleetCall,
        timeoutMillis: Long,
        onAttempt: (LeaderAttempt) -> Unit = {},
    ): Result<FleetAnswer, SubmitError> {
        val nowMillis = clock.nowMillis()
        val progress = Progress(call, WaitingCall.of(call, queues()), nowMillis, nowMillis + timeoutMillis, onAttempt)
        var result: Result<FleetAnswer, SubmitError>? = null
        while (result == null) {
            result = if (clock.nowMillis() >= progress.endMillis) expire(progress) else step(progress)
        }
        return result
    }

    private suspend fun step(progress: Progress): Result<FleetAnswer, SubmitError>? {
        val leader = watch.leader()
        return if (leader == null) awaitLeader(progress) else attempt(progress, leader)
    }

    /** Waits a moment for a leader; returns the refusal of a call that is to wait no longer. */
    private suspend fun awaitLeader(progress: Progress): Result<FleetAnswer, SubmitError>? {
        val nowMillis = clock.nowMillis()
        val prospect = watch.prospect
        val usefulEndMillis = progress.startMillis + progress.waiting.waitMillis(prospect)
        if (!progress.evidence.hasLostReply && nowMillis >= usefulEndMillis) {
            count("refused")
            return unanswered(progress)
        }
        val untilMillis =
            if (progress.evidence.hasLostReply) progress.endMillis else minOf(usefulEndMillis, progress.endMillis)
        // The prospect changes while the call waits, so it is looked at again.
        watch.awaitLeader((untilMillis - nowMillis).coerceIn(1, PROSPECT_INTERVAL_MILLIS))
        return null
    }

    private suspend fun attempt(
        progress: Progress,
        leader: HostName,
    ): Result<FleetAnswer, SubmitError>? {
        val attemptMillis = clock.nowMillis()
        val timeoutMillis = (progress.endMillis - attemptMillis).coerceIn(1, ATTEMPT_TIMEOUT_MILLIS)
        val outcome = watch.call(leader, PeerRequest.Fleet(progress.call), timeoutMillis).toOutcome { reply ->
            decode(reply) { (it as? PeerReply.Fleet)?.answer }
        }.withRefusal(progress.call::isRefusedBy)
        val startMillis = attemptMillis - progress.startMillis
        progress.onAttempt(LeaderAttempt(leader, startMillis, clock.nowMillis() - attemptMillis, outcome.summary))
        progress.evidence = progress.evidence.with(outcome)
        return if (outcome.evidence == RefusalEvidence.NOT_SENT) {
            count("not_sent")
            if (watch.leader() == leader) delay(RETRY_INTERVAL_MILLIS)
            null
        } else {
            handle(progress, leader, outcome.answer)
        }
    }

    private suspend fun handle(
        progress: Progress,
        leader: HostName,
        answer: Submission<FleetAnswer>,
    ): Result<FleetAnswer, SubmitError>? = when (answer) {
        is Submission.Applied -> {
            watch.observe(leader, LeaderSign.Answered)
            answered(progress, answer.reply)
        }
        is Submission.Refused -> progress.evidence.notSubmitted(answer.message)
        is Submission.NotLeader -> {
            watch.observe(leader, LeaderSign.NotLeading(answer.leader, answer.term))
            // A host that was just elected is named as leader before it can answer.
            if (watch.leader().let { it == null || it == leader }) delay(RETRY_INTERVAL_MILLIS)
            null
        }
        is Submission.Undecided -> if (answer.conclusive) {
            watch.observe(leader, LeaderSign.Answered)
            unanswered(progress)
        } else {
            count("no_reply")
            null
        }
    }

    private fun answered(progress: Progress, answer: FleetAnswer): Result<FleetAnswer, SubmitError> {
        val result = if (progress.call.isRefusedBy(answer)) progress.evidence.refused(answer) else Ok(answer)
        if (progress.evidence.mayHaveTakenEffect && result.isOk) count("settled")
        return result
    }

    private fun expire(progress: Progress): Result<FleetAnswer, SubmitError> {
        count(if (progress.evidence.mayHaveTakenEffect) "unknown" else "expired")
        return unanswered(progress)
    }

    private fun unanswered(progress: Progress): Result<FleetAnswer, SubmitError> = progress.evidence.notSubmitted(
        "no leader of $WORKLOAD_GROUP could be reached",
        progress.waiting.retryAfterMillis(watch.prospect),
    )

    private fun count(outcome: String) = registry.counter("auburn.leaderless.calls", "outcome", outcome).increment()

    private companion object {
        /** Shorter than an election, so that a new leader is asked soon after it is ready. */
        const val RETRY_INTERVAL_MILLIS = 50L
        const val PROSPECT_INTERVAL_MILLIS = 100L

        /** Another host is asked after this time, as the leader may be isolated without having noticed yet. */
        const val ATTEMPT_TIMEOUT_MILLIS = 1_500L
    }
}
