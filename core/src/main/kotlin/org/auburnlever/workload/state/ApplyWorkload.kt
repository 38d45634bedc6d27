package org.auburnlever.workload.state

import com.github.michaelbull.result.mapBoth
import kotlinx.collections.immutable.toPersistentMap
import org.auburnlever.workload.evacuation.endEvacuation
import org.auburnlever.workload.evacuation.evacuate

/**
 * Applies [command] to this state; deterministic, so every replica computes the same result.
 *
 * [nowMillis] is the time of the leader that proposed the command.
 */
fun WorkloadState.apply(command: WorkloadCommand, nowMillis: Long): AppliedWorkload {
    val current = copy(nowMillis = maxOf(this.nowMillis, nowMillis))
    return when (command) {
        is WorkloadCommand.ChangeCatalog -> current.change(command)
        is WorkloadCommand.AcceptJob -> current.accept(command)
        is WorkloadCommand.CancelJob -> current.cancel(command)
        is WorkloadCommand.Assign -> current.assign(command)
        is WorkloadCommand.RecordEnds -> current.recorded(command.ends)
        is WorkloadCommand.ForgetJobs -> AppliedWorkload(current.forget(command), WorkloadReply.Done)
        is WorkloadCommand.Evacuate -> current.evacuate(command)
        is WorkloadCommand.EndEvacuation -> current.endEvacuation(command)
    }
}

private fun WorkloadState.recorded(ends: List<RunEnd>): AppliedWorkload {
    val next = record(ends)
    val ended = ends.map { it.run.task.job }.distinct().filter {
        jobs[it]?.phase == JobPhase.ACTIVE && next.jobs[it]?.phase != JobPhase.ACTIVE
    }
    return AppliedWorkload(next, WorkloadReply.Recorded(ended))
}

private fun WorkloadState.change(command: WorkloadCommand.ChangeCatalog): AppliedWorkload {
    val newer = command.catalog.version > (catalog?.version ?: Long.MIN_VALUE)
    val next = if (newer) copy(catalog = command.catalog, document = command.document) else this
    return AppliedWorkload(next, WorkloadReply.Done)
}

private fun WorkloadState.accept(command: WorkloadCommand.AcceptJob): AppliedWorkload = admit(command.address).mapBoth(
    { admitted ->
        when {
            admitted.relativePath in jobs -> AppliedWorkload(this, WorkloadReply.Done)
            admitted.relativePath.isEmpty() || '/' in admitted.relativePath ->
                refuse(command, Inadmissible.NO_JOB)
            admitted.queue.policy.needsAdvice ->
                refuse(command, Inadmissible.NEEDS_ADVICE)
            command.turnAway -> turnAway(admitted.relativePath, command.returnSlot)
            else -> {
                val returned = copy(returns = returns.remove(admitted.relativePath))
                AppliedWorkload(returned.with(newJob(admitted, command.spec)), WorkloadReply.Done)
            }
        }
    },
    { refuse(command, it) },
)

/** Refuses a job, unless it was accepted before the queue or the key was removed. */
private fun WorkloadState.refuse(command: WorkloadCommand.AcceptJob, reason: Inadmissible): AppliedWorkload {
    val stored = acceptedAt(command.address) != null
    val reply = if (stored) WorkloadReply.StoredNotAdmitted(reason) else WorkloadReply.NotAdmitted(reason)
    return AppliedWorkload(this, reply)
}

/** Returns the record of a job that passed admission, as accepted now. */
internal fun WorkloadState.newJob(admitted: AdmittedCall, spec: JobSpec) = JobRecord(
    id = admitted.relativePath,
    queue = admitted.queue.name,
    service = admitted.queue.service,
    account = admitted.account?.name,
    policy = admitted.queue.policy,
    spec = spec,
    acceptedMillis = nowMillis,
    queueAddress = admitted.queue.address,
)

private fun WorkloadState.cancel(command: WorkloadCommand.CancelJob): AppliedWorkload = admit(command.address).mapBoth(
    { admitted ->
        val job = jobOf(admitted)
        when (job?.phase) {
            null -> AppliedWorkload(this, WorkloadReply.NotAdmitted(Inadmissible.NO_JOB))
            JobPhase.ACTIVE -> AppliedWorkload(with(job.ended(JobPhase.CANCELED, nowMillis)), WorkloadReply.Done)
            else -> AppliedWorkload(this, WorkloadReply.Done)
        }
    },
    { AppliedWorkload(this, WorkloadReply.NotAdmitted(it)) },
)

private fun WorkloadState.forget(command: WorkloadCommand.ForgetJobs): WorkloadState {
    val kept = jobs.filterValues {
        it.phase == JobPhase.ACTIVE || it.endedMillis >= command.endedBeforeMillis || it.assigned().isNotEmpty()
    }
    return copy(jobs = kept.toPersistentMap(), returns = returns.expected(nowMillis))
}
