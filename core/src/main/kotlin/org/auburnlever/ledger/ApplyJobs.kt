package org.auburnlever.ledger

import org.auburnlever.configuration.ShapeRanges
import org.auburnlever.placement.describe
import org.auburnlever.placement.largestPossible
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome

private const val MAX_ESTIMATE_SECONDS = 10L * 365 * 24 * 3_600
private const val MAX_PAYLOAD_CHARS = 65_536

/** Limits the size of the replicated state, which keeps payloads until their jobs end. */
private const val MAX_PAYLOADS_CHARS = 8L * 1024 * 1024

/** Limits the size of the replicated state; the queue of the target deployment holds a few hundred jobs. */
private const val MAX_WAITING_JOBS = 20_000

internal fun Transition.submitJob(command: LedgerCommand.SubmitJob): LedgerReply {
    val known = state.jobs.keys[command.key]
    return when {
        known == null -> firstSubmission(command)
        known.bodySha256Hex != command.bodySha256Hex ->
            refused(ErrorCode.KEY_REUSED, "the key belongs to another body")
        else -> jobReply(known.jobId)
    }
}

internal fun Transition.jobReply(jobId: String): LedgerReply = job(jobId)?.let { LedgerReply.Job(state.view(it)) }
    ?: LedgerReply.Rejected(Outcome.Unknown(ErrorCode.KEY_EXPIRED, "job $jobId ended and its record was removed"))

private fun Transition.firstSubmission(command: LedgerCommand.SubmitJob): LedgerReply {
    val refusal = validateKey(command.key) ?: validateSpec(command)
    return if (refusal == null) {
        enqueue(command)
    } else {
        recordRefusal(command, refusal)
        refusal
    }
}

/** Records why a submission was refused; replicas store this text, so it must not differ between builds. */
private fun Transition.recordRefusal(command: LedgerCommand.SubmitJob, refusal: LedgerReply) {
    val outcome = (refusal as? LedgerReply.Rejected)?.refusal
    val message = (outcome as? Outcome.Refused)?.message ?: "key expired"
    recordDecision(DecisionKind.REFUSED, message, DecisionSubject(command.jobId, command.key.account))
}

private fun Transition.validateSpec(command: LedgerCommand.SubmitJob): LedgerReply? {
    val spec = command.spec
    return when {
        job(command.jobId) != null -> refused(ErrorCode.BAD_REQUEST, "job id ${command.jobId} is in use")
        state.jobs.queued.size >= MAX_WAITING_JOBS ->
            refused(ErrorCode.OVERLOADED, "$MAX_WAITING_JOBS jobs wait already")
        spec.payload.length > MAX_PAYLOAD_CHARS ->
            refused(ErrorCode.TOO_LARGE, "the payload is limited to $MAX_PAYLOAD_CHARS characters")
        state.jobs.payloadChars + spec.payload.length > MAX_PAYLOADS_CHARS ->
            refused(ErrorCode.OVERLOADED, "the payloads of waiting and running jobs fill the ledger")
        invalidField(spec) != null -> refused(ErrorCode.BAD_REQUEST, "invalid ${invalidField(spec)}")
        spec.failureDomain != null && spec.failureDomain != state.domain ->
            refused(ErrorCode.BAD_REQUEST, "the job is pinned to ${spec.failureDomain}, this is ${state.domain}")
        state.policy.services.isNotEmpty() && spec.service !in state.policy.services ->
            refused(ErrorCode.UNKNOWN_SERVICE, "unknown service ${spec.service}")
        else -> validateSize(command)
    }
}

private fun invalidField(spec: JobSpec): String? {
    val problem = ShapeRanges.check("shape", spec.shape).firstOrNull()
    return if (spec.estimatedSeconds in 0..MAX_ESTIMATE_SECONDS) problem?.toString() else "estimatedSeconds"
}

private fun Transition.validateSize(command: LedgerCommand.SubmitJob): LedgerReply? {
    val shape = command.spec.shape
    val quota = state.policy.quota(command.key.account)
    val largest = if (state.workers.isEmpty()) shape else state.largestPossible(shape)
    return when {
        shape.acceleratorsPerTask.toLong() * shape.taskCount > quota ->
            refused(ErrorCode.OVER_QUOTA, "the job needs ${shape.acceleratorCount} accelerators, the quota is $quota")
        largest != shape ->
            refused(ErrorCode.IMPOSSIBLE_SHAPE, "no place for ${shape.describe()}; largest: ${largest.describe()}")
        else -> null
    }
}

private fun Transition.enqueue(command: LedgerCommand.SubmitJob): LedgerReply {
    val job = JobRecord(
        jobId = command.jobId,
        key = command.key,
        spec = command.spec,
        submittedIndex = index,
        submittedMillis = nowMillis,
    )
    val keys = state.jobs.keys.put(command.key, JobKeyRecord(command.jobId, command.bodySha256Hex))
    val payloadChars = state.jobs.payloadChars + job.spec.payload.length
    state = state.copy(jobs = state.jobs.copy(keys = keys, payloadChars = payloadChars))
    scheduleKeyExpiry(command.key)
    val queued = moveJob(job, JobPhase.QUEUED, DecisionKind.QUEUED, "submitted")
    return LedgerReply.Job(state.view(queued))
}
